/*
 * List of metrics: METRIC_<KIND>(symbol, name, labels, text). Entries that
 * share a name must be adjacent, as HELP and TYPE are printed once for them. No
 * include guard: metrics.h and metrics.c include it with different definitions
 * of these macros.
 */
METRIC_COUNTER(REQUESTS_MODEL, "amv_requests_total", "kind=\"model\"",
	       "Requests received.")
METRIC_COUNTER(REQUESTS_PLAIN, "amv_requests_total", "kind=\"plain\"",
	       "Requests received.")
METRIC_COUNTER(PROMPT_TOKENS, "amv_prompt_tokens_total", "",
	       "Prompt tokens of answered model requests.")
METRIC_COUNTER(CACHED_TOKENS, "amv_cached_prompt_tokens_total", "",
	       "Prompt tokens that engines took from their cache.")
METRIC_COUNTER(POLLS_FAILED, "amv_engine_polls_failed_total", "",
	       "Polls of engines without a usable load report.")
METRIC_COUNTER(CACHE_EVENTS, "amv_cache_events_total", "",
	       "Cache events read from engines.")
METRIC_COUNTER(CACHE_EVENTS_TRACKED, "amv_cache_events_tracked_total", "",
	       "Cache events of tracked prefixes.")
METRIC_COUNTER(CACHE_EVENT_GAPS, "amv_cache_event_gaps_total", "",
	       "Gaps in cache events, each of which ended the beliefs about an "
	       "engine.")
METRIC_COUNTER(CACHE_EVENT_BYTES, "amv_cache_event_bytes_total", "",
	       "Bytes sent and received for cache events.")
METRIC_COUNTER(RELAYED_TOKENS, "amv_relayed_tokens_total", "",
	       "Generated tokens relayed to callers.")
METRIC_GAUGE(OPEN_STREAMS, "amv_open_streams", "",
	     "Model requests in progress.")
METRIC_GAUGE(CONFIG_POSITION, "amv_config_position", "",
	     "Position of the configuration in force.")
METRIC_COUNTER(STORE_CALLS_ORDER, "amv_store_calls_total", "purpose=\"order\"",
	       "Calls to the object API.")
METRIC_COUNTER(STORE_CALLS_LEASE, "amv_store_calls_total", "purpose=\"lease\"",
	       "Calls to the object API.")
METRIC_COUNTER(STORE_CALLS_TICKET, "amv_store_calls_total",
	       "purpose=\"ticket\"", "Calls to the object API.")
METRIC_COUNTER(STORE_CALLS_CONFIG, "amv_store_calls_total",
	       "purpose=\"config\"", "Calls to the object API.")
METRIC_COUNTER(STORE_CALLS_AUDIT, "amv_store_calls_total", "purpose=\"audit\"",
	       "Calls to the object API.")
METRIC_COUNTER(STORE_CALLS_MEMBERSHIP, "amv_store_calls_total",
	       "purpose=\"membership\"", "Calls to the object API.")
METRIC_COUNTER(STORE_CALLS_STATUS, "amv_store_calls_total",
	       "purpose=\"status\"", "Calls to the object API.")
METRIC_COUNTER(STORE_FAILURES_ORDER, "amv_store_failures_total",
	       "purpose=\"order\"",
	       "Calls to the object API without a usable answer.")
METRIC_COUNTER(STORE_FAILURES_LEASE, "amv_store_failures_total",
	       "purpose=\"lease\"",
	       "Calls to the object API without a usable answer.")
METRIC_COUNTER(STORE_FAILURES_TICKET, "amv_store_failures_total",
	       "purpose=\"ticket\"",
	       "Calls to the object API without a usable answer.")
METRIC_COUNTER(STORE_FAILURES_CONFIG, "amv_store_failures_total",
	       "purpose=\"config\"",
	       "Calls to the object API without a usable answer.")
METRIC_COUNTER(STORE_FAILURES_AUDIT, "amv_store_failures_total",
	       "purpose=\"audit\"",
	       "Calls to the object API without a usable answer.")
METRIC_COUNTER(STORE_FAILURES_MEMBERSHIP, "amv_store_failures_total",
	       "purpose=\"membership\"",
	       "Calls to the object API without a usable answer.")
METRIC_COUNTER(STORE_FAILURES_STATUS, "amv_store_failures_total",
	       "purpose=\"status\"",
	       "Calls to the object API without a usable answer.")
METRIC_COUNTER(STORE_BYTES_ORDER, "amv_store_bytes_total", "purpose=\"order\"",
	       "Bytes sent to and received from the object API.")
METRIC_COUNTER(STORE_BYTES_LEASE, "amv_store_bytes_total", "purpose=\"lease\"",
	       "Bytes sent to and received from the object API.")
METRIC_COUNTER(STORE_BYTES_TICKET, "amv_store_bytes_total",
	       "purpose=\"ticket\"",
	       "Bytes sent to and received from the object API.")
METRIC_COUNTER(STORE_BYTES_CONFIG, "amv_store_bytes_total",
	       "purpose=\"config\"",
	       "Bytes sent to and received from the object API.")
METRIC_COUNTER(STORE_BYTES_AUDIT, "amv_store_bytes_total", "purpose=\"audit\"",
	       "Bytes sent to and received from the object API.")
METRIC_COUNTER(STORE_BYTES_MEMBERSHIP, "amv_store_bytes_total",
	       "purpose=\"membership\"",
	       "Bytes sent to and received from the object API.")
METRIC_COUNTER(STORE_BYTES_STATUS, "amv_store_bytes_total",
	       "purpose=\"status\"",
	       "Bytes sent to and received from the object API.")
METRIC_COUNTER(STORE_REFUSED, "amv_store_refused_total", "",
	       "Calls to the object API refused by the own budget.")
METRIC_GAUGE(ORDER_BACKLOG, "amv_order_backlog", "",
	     "Orders answered to their callers whose record is to be written.")
METRIC_GAUGE(CONFIG_AGE_MS, "amv_config_age_ms", "",
	     "Time since the configuration was last known to be current.")
METRIC_GAUGE(START_PEER, "amv_start_source", "source=\"peer\"",
	     "1 for the source of the first configuration.")
METRIC_GAUGE(START_STORE, "amv_start_source", "source=\"store\"",
	     "1 for the source of the first configuration.")
METRIC_GAUGE(START_BOOTSTRAP, "amv_start_source", "source=\"bootstrap\"",
	     "1 for the source of the first configuration.")
METRIC_GAUGE(START_MS, "amv_start_ms", "",
	     "Time from the start until requests were served.")
METRIC_GAUGE(START_STORE_CALLS, "amv_start_store_calls", "",
	     "Calls to the object API until the first configuration.")
METRIC_COUNTER(TICKETS_ACCEPTED, "amv_tickets_total", "outcome=\"accepted\"",
	       "Tickets decided here.")
METRIC_COUNTER(TICKETS_REFUSED, "amv_tickets_total", "outcome=\"refused\"",
	       "Tickets decided here.")
METRIC_COUNTER(AUDIT_DROPPED, "amv_audit_dropped_total", "",
	       "Audit entries dropped because the queue was full.")
METRIC_HISTOGRAM(TTFT_URGENT, "amv_ttft_ms", "class=\"urgent\"",
		 "Time to first token.")
METRIC_HISTOGRAM(TTFT_NORMAL, "amv_ttft_ms", "class=\"normal\"",
		 "Time to first token.")
METRIC_HISTOGRAM(TTFT_DEFERRABLE, "amv_ttft_ms", "class=\"deferrable\"",
		 "Time to first token.")
METRIC_COUNTER(PEER_CALLS, "amv_peer_calls_total", "",
	       "Messages sent to other instances.")
METRIC_COUNTER(PEER_REJECTED, "amv_peer_rejected_total", "",
	       "Messages from other instances that were not accepted.")
METRIC_COUNTER(PEER_CHALLENGED, "amv_peer_challenged_total", "",
	       "Messages from other instances that lacked the valid "
	       "challenge and were to be repeated with it.")
METRIC_COUNTER(PEER_BYTES_SENT, "amv_peer_bytes_total", "direction=\"sent\"",
	       "Payload bytes exchanged with other instances.")
METRIC_COUNTER(PEER_BYTES_RECEIVED, "amv_peer_bytes_total",
	       "direction=\"received\"",
	       "Payload bytes exchanged with other instances.")
METRIC_GAUGE(MEMBERS_LIVE, "amv_members_live", "",
	     "Instances believed to be alive, with this one.")
METRIC_GAUGE(LEASES_HELD, "amv_leases_held", "",
	     "Leases of pools that this instance holds.")
METRIC_GAUGE(ENGINES_IN_SERVICE, "amv_engines_in_service", "",
	     "Engines in service, of the pools whose leases are held here.")
METRIC_COUNTER(LEASES_ACQUIRED, "amv_lease_changes_total",
	       "change=\"acquired\"", "Leases won and lost here.")
METRIC_COUNTER(LEASES_LOST, "amv_lease_changes_total", "change=\"lost\"",
	       "Leases won and lost here.")
METRIC_COUNTER(LEASES_RELEASED, "amv_lease_changes_total",
	       "change=\"released\"", "Leases won and lost here.")
METRIC_COUNTER(ENGINE_ORDERS_SENT, "amv_engine_orders_sent_total", "",
	       "Orders whose sending to an engine began.")
METRIC_COUNTER(ENGINE_ORDERS_DONE, "amv_engine_orders_total",
	       "outcome=\"done\"", "Orders to engines that ended.")
METRIC_COUNTER(ENGINE_ORDERS_REFUSED, "amv_engine_orders_total",
	       "outcome=\"refused\"", "Orders to engines that ended.")
METRIC_COUNTER(ENGINE_ORDERS_UNKNOWN, "amv_engine_orders_total",
	       "outcome=\"unknown\"", "Orders to engines that ended.")
METRIC_COUNTER(ENDPOINT_CLOSES, "amv_endpoint_closes_total", "",
	       "Answers after which an endpoint closed its connection.")
METRIC_GAUGE(GATEWAY_REQUESTS, "amv_gateway_requests", "",
	     "Requests in progress at the gateway.")
METRIC_GAUGE(
	CRASH_BLOCKED_KEYS, "amv_crash_blocked_keys", "",
	"Requests and parts of prompts that are refused because they crash "
	"endpoints.")
METRIC_COUNTER(REQUESTS_BEGUN_OUTDATED, "amv_requests_begun_outdated_total", "",
	       "Requests that began on weights replaced for longer than the "
	       "time limit.")
METRIC_GAUGE(STORE_ERA, "amv_store_era", "",
	     "Newest era of the store that this instance knows.")
METRIC_COUNTER(STORE_LISTS, "amv_store_lists_total", "",
	       "Lists of objects read again because a watch could not be "
	       "continued.")
METRIC_COUNTER(REQUESTS_FORWARDED, "amv_gateway_forwarded_total",
	       "direction=\"out\"",
	       "Requests forwarded between instances because of lost paths.")
METRIC_COUNTER(REQUESTS_TAKEN_OVER, "amv_gateway_forwarded_total",
	       "direction=\"in\"",
	       "Requests forwarded between instances because of lost paths.")
METRIC_COUNTER(ENDPOINT_NEWS_SENT, "amv_endpoint_news_total", "result=\"sent\"",
	       "News of endpoints that take no requests: seen here and sent to "
	       "the other instances, received from them, and of these applied.")
METRIC_COUNTER(ENDPOINT_NEWS_RECEIVED, "amv_endpoint_news_total",
	       "result=\"received\"",
	       "News of endpoints that take no requests: seen here and sent to "
	       "the other instances, received from them, and of these applied.")
METRIC_COUNTER(ENDPOINT_NEWS_APPLIED, "amv_endpoint_news_total",
	       "result=\"applied\"",
	       "News of endpoints that take no requests: seen here and sent to "
	       "the other instances, received from them, and of these applied.")
METRIC_GAUGE(GATEWAY_CONNECTIONS, "amv_gateway_connections", "",
	     "Open connections of callers.")
METRIC_GAUGE(OUTBOUND_OPENED, "amv_outbound_connections_opened", "",
	     "Connections to endpoints opened since the start.")
METRIC_GAUGE(OUTBOUND_REUSED, "amv_outbound_connections_reused", "",
	     "Calls on kept connections since the start.")
METRIC_GAUGE(OUTBOUND_SKIPPED, "amv_outbound_answers_skipped", "",
	     "Answers since the start that belonged to no open call.")
METRIC_HISTOGRAM(GATEWAY_FIRST_MS, "amv_gateway_first_event_ms", "",
		 "Arrival of a request to its first event.")
METRIC_HISTOGRAM(GATEWAY_ANSWER_MS, "amv_gateway_answer_ms", "",
		 "Arrival of a request to the end of its answer.")
