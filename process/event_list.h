/*
 * List of log events: EVENT(number, symbol, name, level, text).
 * No include guard: event.h and event.c include it with different definitions
 * of EVENT.
 *
 * Ranges: 1000 process, 1100 configuration and tickets, 1200 routing and
 * engines, 1300 non-idempotent requests, 1400 leases and controllers, 1500
 * membership and peers, 1600 object API, 1700 HTTP server and streams, 1800
 * requests at the gateway, 1900 state of the gateway: views, endpoints, peers.
 */
EVENT(1000, STARTED, "started", EVENT_INFO,
      "The process has read its settings and starts its threads.")
EVENT(1001, READY, "ready", EVENT_INFO,
      "A configuration is in force; the instance reports ready.")
EVENT(1002, STOPPING, "stopping", EVENT_INFO,
      "A planned stop began: no new requests are accepted, open ones finish.")
EVENT(1003, STOPPED, "stopped", EVENT_INFO,
      "The process exits; no request was in progress.")
EVENT(1004, STOP_LIMIT, "stop_limit", EVENT_ERROR,
      "The stop limit passed with requests in progress; they were aborted. "
      "Raise --stop-limit-ms or look for requests that never end.")
EVENT(1005, START_FAILED, "start_failed", EVENT_ERROR,
      "The process cannot start; the text gives the reason.")
EVENT(1006, BOOTSTRAP_INVALID, "bootstrap_invalid", EVENT_ERROR,
      "The bootstrap file cannot be used; the text gives the reason.")
EVENT(1100, TICKET_DECIDED, "ticket_decided", EVENT_INFO,
      "A ticket was accepted or refused; the outcome is in the text.")
EVENT(1101, CONFIG_IN_FORCE, "config_in_force", EVENT_INFO,
      "A higher configuration position was published.")
EVENT(1102, CONFIG_REJECTED, "config_rejected", EVENT_ERROR,
      "A configuration that was read failed validation; the previous one "
      "stays in force. Correct the named object with a new ticket.")
EVENT(1103, CONFIG_FETCH_FAILED, "config_fetch_failed", EVENT_WARN,
      "A configuration could not be fetched from the named source; another "
      "source is tried.")
EVENT(1104, CONFIG_WATCH, "config_watch", EVENT_INFO,
      "The instance started or stopped watching the configuration head.")
EVENT(1105, CONFIG_COMPACTED, "config_compacted", EVENT_INFO,
      "The ticket log was compacted into snapshot shards.")
EVENT(1200, ATTEMPT_ENDED, "attempt_ended", EVENT_INFO,
      "An attempt at a model request ended without a complete answer.")
EVENT(1201, ATTEMPT_MISMATCH, "attempt_mismatch", EVENT_ERROR,
      "An engine's answer had the number of another attempt and was "
      "discarded. Check the engine's connection handling.")
EVENT(1202, FLEET_LIMIT, "fleet_limit", EVENT_ERROR,
      "The configuration has more endpoints or pools than an instance can "
      "hold; some get no work.")
EVENT(1300, ORDER_CLAIM_LOST, "order_claim_lost", EVENT_WARN,
      "The answer to the write of a claim was lost; the record is read back.")
EVENT(1301, ORDER_CLOSED, "order_closed", EVENT_WARN,
      "An open claim past its deadline was closed without running the order. "
      "Check with the plain service whether the order ran.")
EVENT(1302, ORDER_UNKNOWN, "order_unknown", EVENT_ERROR,
      "An order was sent and its outcome is unknown. Check with the plain "
      "service before sending it again with another key.")
EVENT(1303, ORDER_RECORD_RETRY, "order_record_retry", EVENT_WARN,
      "The outcome record could not be written; it is retried.")
EVENT(1304, ORDER_RECORD_FAILED, "order_record_failed", EVENT_ERROR,
      "Writing the outcome record was abandoned. A repeated request with the "
      "same key gets an unknown outcome although the client received the "
      "endpoint's answer.")
EVENT(1305, ORDER_KEY_REUSED, "order_key_reused", EVENT_WARN,
      "A customer used one idempotency key with two different bodies.")
EVENT(1306, ORDER_SWEEP, "order_sweep", EVENT_DEBUG,
      "Order records past their retention time were deleted.")
EVENT(1307, ORDER_MARK, "order_mark", EVENT_INFO,
      "The marks of the sweeps were replaced after a part of the retention.")
EVENT(1400, LEASE_ACQUIRED, "lease_acquired", EVENT_INFO,
      "This instance holds the lease with the given fencing number.")
EVENT(1401, LEASE_LOST, "lease_lost", EVENT_WARN,
      "The lease ended before it was released. Look for process pauses or a "
      "slow store.")
EVENT(1402, LEASE_RELEASED, "lease_released", EVENT_INFO,
      "The lease was released or handed over.")
EVENT(1410, ENGINE_ORDER, "engine_order", EVENT_INFO,
      "An order was issued to an engine.")
EVENT(1411, ENGINE_ORDER_RESULT, "engine_order_result", EVENT_INFO,
      "The outcome of an order to an engine is known.")
EVENT(1412, ENGINE_ORDER_UNKNOWN, "engine_order_unknown", EVENT_WARN,
      "The outcome of an engine order is unknown; its slot stays reserved "
      "until the engine reports it or the longest duration has passed.")
EVENT(1413, ENGINE_ORDER_OPEN, "engine_order_open", EVENT_WARN,
      "The lease ended while an order to an engine had no answer; it may still "
      "arrive.")
EVENT(1414, ROLLOUT_LOG_READ, "rollout_log_read", EVENT_INFO,
      "The log of orders to engines was read: orders of earlier holders that "
      "may be on the way. If it is of an earlier era of the store, or there is "
      "none, all engines are held for the transit time.")
EVENT(1415, ROLLOUT_LOG_WRITTEN, "rollout_log_written", EVENT_DEBUG,
      "Orders to engines were written to the log, so that they may be sent.")
EVENT(1420, STREAM_RESUMED, "stream_resumed", EVENT_INFO,
      "A client resumes a stream. source: how the version of the software that "
      "began it is known (own: it began here; only: there is one version; "
      "lookup: found out since); none: not known, so that the request is "
      "refused.")
EVENT(1421, STREAMS_LISTED, "streams_listed", EVENT_INFO,
      "The streams that instances recorded were read from the store, for "
      "clients that resume some of them.")
EVENT(1422, STREAMS_WRITTEN, "streams_written", EVENT_DEBUG,
      "The streams of this failure domain were written to the store.")
EVENT(1423, SOFTWARE_MIXED, "software_mixed", EVENT_INFO,
      "Whether streams are recorded, because endpoints of a service have, or "
      "had lately, several versions of their software, or because it is not "
      "known which ones there were.")
EVENT(1500, PEER_REJECTED, "peer_rejected", EVENT_WARN,
      "A message from a peer was not authentic or a replay. Check that all "
      "instances have the same cluster name and secret, and that their "
      "clocks agree.")
EVENT(1501, MEMBER_FAILED, "member_failed", EVENT_WARN,
      "Another instance did not answer and is considered failed.")
EVENT(1502, MEMBER_JOINED, "member_joined", EVENT_INFO,
      "This instance got the member list from a peer.")
EVENT(1503, JOIN_FAILED, "join_failed", EVENT_WARN,
      "No known peer answered; the instance runs alone and retries.")
EVENT(1504, ENDPOINT_LEAVING, "endpoint_leaving", EVENT_INFO,
      "An endpoint started or stopped leaving. The router notifies other "
      "instances; at the gateway, id is that of the request whose answer says "
      "so.")
EVENT(1510, CRASH_SUSPECT, "crash_suspect", EVENT_WARN,
      "An engine crashed; a request that ran on it is suspected as the cause.")
EVENT(1511, CRASH_BLOCKED, "crash_blocked", EVENT_ERROR,
      "A request crashed two engines and is refused for some time.")
EVENT(1512, CRASH_CLEARED, "crash_cleared", EVENT_INFO,
      "A suspected request completed and is no longer suspected.")
EVENT(1513, CRASH_KEY_SUSPECT, "crash_key_suspect", EVENT_WARN,
      "An endpoint was lost before it had begun to answer; a part of the prompt "
      "at this depth, or the whole request (depth 255), may be the cause.")
EVENT(1514, CRASH_KEY_BLOCKED, "crash_key_blocked", EVENT_ERROR,
      "Requests with this part of a prompt, or this whole request, are refused: "
      "it crashed endpoints. peer: another instance decided it.")
EVENT(1515, CRASH_KEY_CLEARED, "crash_key_cleared", EVENT_INFO,
      "A request with a suspected or blocked key was answered.")
EVENT(1516, CRASH_PROBE, "crash_probe", EVENT_WARN,
      "A request with a blocked key is sent, to find out whether it still "
      "crashes endpoints.")
EVENT(1517, CRASH_REFUSED, "crash_refused", EVENT_WARN,
      "A request was not sent to an endpoint because of a blocked key.")
EVENT(1518, CRASH_REFUTED, "crash_refuted", EVENT_INFO,
      "An endpoint answered after what was taken for its crash, which no longer "
      "counts. peer: another instance has seen it; blocked: keys that are still "
      "blocked.")
EVENT(1600, STORE_OUTAGE, "store_outage", EVENT_WARN,
      "Consecutive calls to the object API failed. Routing continues; "
      "orders and tickets are refused as not run.")
EVENT(1601, STORE_RECOVERED, "store_recovered", EVENT_INFO,
      "The object API answers again.")
EVENT(1602, AUDIT_DROPPED, "audit_dropped", EVENT_WARN,
      "The queue of audit entries is full; the oldest were dropped.")
EVENT(1701, TLS_FAILED, "tls_failed", EVENT_ERROR,
      "A certificate, key or certificate authority file cannot be used.")
EVENT(1800, REQUEST_PLACED, "request_placed", EVENT_INFO,
      "A request was sent to an endpoint. home: whether it is the preferred "
      "endpoint, expected to have the shared prefix cached; outdated_ms: how "
      "long ago newer weights than the endpoint's were set; wait_ms: the "
      "expected wait at an engine; cost_ms: the estimated cost.")
EVENT(1801, REQUEST_ENDED, "request_ended", EVENT_INFO,
      "A request ended. The outcome is served, caller_gone (the client "
      "disconnected) or the error kind that was returned. Those refused "
      "because of a customer's limit are counted by customer_limited.")
EVENT(1802, REQUEST_ATTEMPT_FAILED, "request_attempt_failed", EVENT_WARN,
      "An endpoint did not give a complete answer; why gives the reason.")
EVENT(1803, RETRY_REFUSED, "retry_refused", EVENT_WARN,
      "A request was not retried because the retry budget is used up.")
EVENT(1804, CLIENT_REFUSED, "caller_refused", EVENT_WARN,
      "A connection was closed because of what the client sent.")
EVENT(1805, SOCKET_OPTION_FAILED, "socket_option_failed", EVENT_WARN,
      "A socket option could not be set; the connection is used without it.")
EVENT(1806, REQUEST_NOT_RENEWED, "request_not_renewed", EVENT_INFO,
      "Another attempt was not started: the newest view does not allow it.")
EVENT(1807, REQUEST_CUT, "request_cut", EVENT_WARN,
      "A planned stop reached its limit before the request ended. age_ms and "
      "sent_ms: since its arrival and since it was sent to the endpoint; "
      "left_ms: until its deadline; begun: its answer was being relayed; "
      "client: the client was still connected.")
EVENT(1808, REQUEST_BEGUN_OUTDATED, "request_begun_outdated", EVENT_ERROR,
      "An engine began a request on weights that had been replaced for longer "
      "than the time limit. weights: of the answer; expected: when it was sent; "
      "outdated_ms: since the newer weights were set, view_outdated_ms: the "
      "same by the view that the request was placed with; sent_ms: since it was "
      "sent.")
EVENT(1809, REQUEST_FORWARDED, "request_forwarded", EVENT_INFO,
      "A request is forwarded to another instance, as this one has lost the "
      "paths to the endpoints of its service.")
EVENT(1810, PATHS_LOST, "paths_lost", EVENT_WARN,
      "No endpoint of the service can be reached from this instance. Requests "
      "are forwarded to instances that reach them. Check the network between "
      "this machine and the endpoints.")
EVENT(1811, PATHS_BACK, "paths_back", EVENT_INFO,
      "An endpoint of the service has answered again.")
EVENT(1812, CUSTOMER_LIMITED, "customer_limited", EVENT_WARN,
      "Requests of a customer were refused because of its limit; at most one "
      "line a second for each customer. refused: since the last line; id, cost "
      "and retry_after_ms: of the last one; credit: tokens, or requests, that "
      "this instance holds; part: share of the customer's rate that it holds; "
      "owner: whether the others ask it. "
      "Raise rate_per_s or burst of the customer if its demand is wanted.")
EVENT(1813, CUSTOMER_LIMITS_REJECTED, "customer_limits_rejected", EVENT_ERROR,
      "The limits of the customers in the configuration cannot be put in force: "
      "there are more than the instance holds, or it is out of memory. The "
      "limits of before stay.")
EVENT(1900, VIEW_PUBLISHED, "view_published", EVENT_INFO,
      "New requests are routed with a newer view.")
EVENT(1901, STORE_CONTACT, "store_contact", EVENT_WARN,
      "The store started or stopped answering this instance.")
EVENT(1902, DESIRED_REJECTED, "desired_rejected", EVENT_ERROR,
      "A desired state is invalid or older than the current one.")
EVENT(1903, ENTRY_REJECTED, "entry_rejected", EVENT_WARN,
      "An entry of the server list is invalid; it is ignored.")
EVENT(1904, ENDPOINT_EJECTED, "endpoint_ejected", EVENT_WARN,
      "An endpoint failed repeatedly and gets no requests for some time.")
EVENT(1905, ENDPOINT_REPLACED, "endpoint_replaced", EVENT_WARN,
      "Another server answered at an endpoint's address.")
EVENT(1906, SETTINGS_RELOADED, "settings_reloaded", EVENT_INFO,
      "The settings were read again.")
EVENT(1907, LOG_DROPPED, "log_dropped", EVENT_WARN,
      "Log lines were dropped: rate limit exceeded or standard output full.")
EVENT(1908, PEER_APPEARED, "peer_heard", EVENT_INFO,
      "A heartbeat came from an instance that is new or was silent.")
EVENT(1909, PEER_AHEAD, "peer_ahead", EVENT_INFO,
      "A peer has newer state than this instance got from the store; the "
      "state is fetched from the peer.")
EVENT(1910, PEER_STATE, "peer_state", EVENT_INFO,
      "State was fetched from a peer. first_ms: until its answer began; ms: "
      "until it was complete.")
EVENT(1911, ENGINE_REPORT, "engine_report", EVENT_INFO,
      "An engine reported its weights version and whether an order is running.")
EVENT(1912, WATCHING, "watching", EVENT_INFO,
      "This instance started or stopped watching the store for changes; "
      "instances that do not watch get changes from those that do.")
EVENT(1913, PEER_NO_STATE, "peer_no_state", EVENT_WARN,
      "A peer did not send its state; other peers are tried first for some "
      "time. bytes: of the answer so far; first_ms: until it began, -1 if it "
      "did not.")
EVENT(1914, STORE_ERA, "store_era", EVENT_WARN,
      "The store stated a newer era than known: at the start, or because it was "
      "restored from an older copy. What it had acknowledged since the copy is "
      "gone.")
EVENT(1915, STORE_LIST, "store_list", EVENT_WARN,
      "The objects of a kind are listed again. revision: up to which changes are "
      "known; result: of the watch that cannot be continued.")
EVENT(1916, STATE_SERVED, "state_served", EVENT_INFO,
      "A peer was sent state that it asked for.")
EVENT(1917, ENDPOINT_LIMIT, "endpoint_limit", EVENT_WARN,
      "An endpoint has named another limit for the requests of all instances "
      "together, or none any more (-1). id: of the request that it answered; "
      "peer: the instance that reported it.")
EVENT(1918, ENDPOINT_PAUSED, "endpoint_paused", EVENT_INFO,
      "An endpoint has turned a request away and asked this instance for none for "
      "some time.")
EVENT(1920, PROCESS_PAUSED, "process_paused", EVENT_WARN,
      "The control thread did not run for some time. Target weights that become "
      "known soon after it count as set at its beginning.")
EVENT(1921, STORE_DOWN_FOR_ALL, "store_down_for_all", EVENT_WARN,
      "The store answers no instance any more (down=1), or answers one again "
      "(0). Endpoints removed soon after an outage are kept for some time.")
EVENT(1922, CRASH_EVIDENCE_READ, "crash_evidence_read", EVENT_INFO,
      "What is known to crash endpoints was read from the store; not_found: nothing "
      "was written yet.")
EVENT(1923, CRASH_EVIDENCE_WRITTEN, "crash_evidence_written", EVENT_INFO,
      "What is known to crash endpoints was written to the store. store_condition: "
      "another instance has written; it is read first.")
EVENT(1924, ENDPOINT_REFUSALS_MAX, "endpoint_refusals_max", EVENT_WARN,
      "An endpoint has named another number of refusals that it withstands in a "
      "second, or none any more (-1).")
EVENT(1925, ENTRIES_LEFT_OUT, "entries_left_out", EVENT_ERROR,
      "A list has more than an instance holds in memory; its largest entries "
      "were left out, and are read again when others go. bytes: of those that "
      "are held.")
