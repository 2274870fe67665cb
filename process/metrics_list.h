/*
 * List of metrics: METRIC_<KIND>(symbol, name, labels, text). Rows that share
 * a name stand together. No include guard: metrics.h and metrics.c expand it
 * in different ways.
 */
METRIC_COUNTER(REQUESTS_MODEL, "amv_requests_total", "kind=\"model\"",
	       "Requests received.")
METRIC_COUNTER(REQUESTS_PLAIN, "amv_requests_total", "kind=\"plain\"",
	       "Requests received.")
METRIC_COUNTER(PROMPT_TOKENS, "amv_prompt_tokens_total", "",
	       "Prompt tokens of answered model requests.")
METRIC_COUNTER(CACHED_TOKENS, "amv_cached_prompt_tokens_total", "",
	       "Prompt tokens that engines took from their cache.")
METRIC_COUNTER(RELAYED_TOKENS, "amv_relayed_tokens_total", "",
	       "Generated tokens relayed to callers.")
METRIC_GAUGE(OPEN_STREAMS, "amv_open_streams", "",
	     "Model requests in progress.")
METRIC_GAUGE(CONFIG_POSITION, "amv_config_position", "",
	     "Position of the configuration in force.")
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
METRIC_COUNTER(PEER_BYTES_SENT, "amv_peer_bytes_total", "direction=\"sent\"",
	       "Payload bytes exchanged with other instances.")
METRIC_COUNTER(PEER_BYTES_RECEIVED, "amv_peer_bytes_total",
	       "direction=\"received\"",
	       "Payload bytes exchanged with other instances.")
METRIC_GAUGE(MEMBERS_LIVE, "amv_members_live", "",
	     "Instances believed to be alive, with this one.")
