package main

import "fmt"

// bodyLimit is the usual max_body_bytes.
const bodyLimit = 64 << 20

// config returns the operator's configuration: a service behind a safe and an unsafe route,
// and a tenant.
func config(version, rate int) string { return configWithLimit(version, rate, bodyLimit) }

// configWithLimit returns the configuration with another max_body_bytes.
func configWithLimit(version, rate, maxBody int) string {
	return fmt.Sprintf(`{"version":"r%d","limits":{"max_header_bytes":16384,"max_body_bytes":%d,"header_timeout":"3000ms","idle_timeout":"15000ms"},
"tenants":[{"name":"shop","api_keys":["shop-key-0123456789"],"priority":1,"rate_per_s":%d,"burst":%d}],
"listeners":[{"host":%q,"rule_set":[
{"name":"look","kind":"safe","target_latency":"400ms","priority":1,"public":false,"match":{"prefix":"/look/"},"action":{"service":"till","timeout":"1200ms","attempts":2}},
{"name":"buy","kind":"unsafe","target_latency":"500ms","priority":1,"public":false,"match":{"prefix":"/buy/"},"action":{"service":"till","timeout":"10s","attempts":2}}]}],
"clusters":[{"name":"till","health_check_path":"/health","connection_limit":220,"protocol":"h1","tls":false,"cold_start":"3s","cold_per_s":11.0}]}`,
		version, maxBody, rate, rate, host)
}

// shopKey is the key of the tenant.
const shopKey = "shop-key-0123456789"
