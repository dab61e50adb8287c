# Tenants from a directory: an example, for `python -m snowthread serve --with deploy/tenants.hcl`.
# docs/tenants.md says what each key means. Off on the platform: `run` in balancer.toml names no such file.

tenants {
  servers = ["ldap://127.0.0.1:3389"] # in order of preference
  base    = "ou=tenants,dc=example"

  # bind {
  #   dn            = "cn=node,dc=example"
  #   password_file = "/etc/snowthread/directory.password"
  # }
  # start_tls = true
  # tls {
  #   ca_file     = "/etc/snowthread/directory-ca.pem"
  #   server_name = "directory.example"
  # }

  over_share_worth = 0.1 # factor on the priority weight of requests beyond a tenant's quota

  default { # unknown clients, together
    quota_per_s = 5
  }

  # snapshot {
  #   file = "/var/lib/snowthread/tenants.snapshot"
  # }
}
