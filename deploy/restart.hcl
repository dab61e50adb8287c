# A mass restart under load: four of five formula nodes are killed at once and started again within a second, their
# state folders wiped, while the shared formula database takes five times as long. Run it with
#     .venv/bin/python -m snowthread lab run deploy/restart.hcl
# See docs/lab.md.
seed     = 1
nodes    = 5
cores    = 4
run_time = "100ms"    # mean work of a run; all times of the platform's documents are scaled to it
duration = "26s"
comeback = true       # the nodes' recovery feature; false: as they are in service

load {
  share   = 0.9   # of the fleet's capacity: nodes * cores / run_time
  keyed   = 0.2   # share of requests with an idempotency key (dispense)
  repeats = 0.3   # share of keyed requests sent again, to the same node
}

database {
  slots     = 6      # calls it works on at a time; more are queued
  call_time = "80ms" # of each, uncrowded
}

machine {
  cold_share   = 0.23 # of its speed at a cold start
  warm_calls   = 0.5  # calls a run, warm
  cold_calls   = 3    # more of them, cold
  warm_replies = 150  # replies of the database until it is warm
}

step {
  at          = "6s"
  do          = "kill"
  share       = 0.8
  again_after = "800ms"
}

step {
  at    = "6s"
  do    = "wipe"
  share = 0.8
}

step {
  at     = "6500ms"
  do     = "slow"
  factor = 5
  for    = "4s"
}
