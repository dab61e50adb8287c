# A mass restart under load: four of five formula nodes killed at once and started again within a second,
# their state folders wiped, while the shared formula database is slow by five times. Run it with
#     .venv/bin/python -m snowthread lab run deploy/restart.hcl
seed     = 1
nodes    = 5
cores    = 4
run_time = "100ms"
duration = "24s"

load {
  share   = 0.9   # of the fleet's capacity: nodes * cores / run_time
  keyed   = 0.2   # share of requests that carry a key (dispense)
  repeats = 0.3   # share of keyed requests tried again, at the same node first
}

database {
  per_s     = 60    # calls a second the shared database bears
  call_time = "5ms"
}

step {
  at          = "8s"
  do          = "kill"
  share       = 0.8
  again_after = "800ms"
}

step {
  at    = "8s"
  do    = "wipe"
  share = 0.8
}

step {
  at     = "8500ms"
  do     = "slow"
  factor = 5
  for    = "6s"
}
