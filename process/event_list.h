/*
 * List of log events: EVENT(number, symbol, name, level, text).
 * No include guard: event.h and event.c expand it in different ways.
 *
 * Ranges: 1000 process, 1100 configuration and tickets, 1200 routing and
 * engines, 1300 non-idempotent requests, 1400 leases and controllers, 1500
 * membership and peers, 1600 object API, 1700 HTTP server and streams.
 */
EVENT(1000, STARTED, "started", EVENT_INFO,
      "The process has read its settings and starts its threads.")
EVENT(1001, READY, "ready", EVENT_INFO,
      "A configuration is in force; the instance reports ready.")
EVENT(1002, STOPPING, "stopping", EVENT_INFO,
      "A planned stop began: no new requests, open ones finish.")
EVENT(1003, STOPPED, "stopped", EVENT_INFO,
      "The process ends with nothing in progress.")
EVENT(1004, STOP_LIMIT, "stop_limit", EVENT_ERROR,
      "The stop limit passed with requests in progress; they were cut. "
      "Raise --stop-limit-ms or look for requests that never end.")
EVENT(1005, START_FAILED, "start_failed", EVENT_ERROR,
      "The process cannot start; the text names the reason.")
EVENT(1700, HTTP_SERVER, "http_server", EVENT_WARN,
      "The HTTP server library reports a problem; the text names it.")
