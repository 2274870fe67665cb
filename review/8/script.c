/* A server leaves some of its requests unanswered. The ids of the requests are
 * long. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../standin-2/rig.h"

enum {
	SERVERS = 4,
	CLIENTS = 6,
	/** Of requests to the grey server, in a hundred; share 0.14 of the
	 * servers is one of four. */
	HANG_PERCENT = 45,
	GREY_MS = 6500,
	TRAFFIC_MS = 10000,
	ROUTE_TIMEOUT_MS = 800,
	TIME_LIMIT_MS = 1500,
	ID_BYTES = 300,
};

static rig_server_t servers[SERVERS];
static _Atomic bool grey;
static _Atomic bool stop;
static _Atomic unsigned turn;
static _Atomic int whole, failed, silent, broken;

static rig_next_t run_grey(rig_server_t *server, const rig_request_t *request)
{
	char *id = rig_header(request->head, "Request-Id");

	if (grey && ++turn * HANG_PERCENT % 100 < HANG_PERCENT) {
		rig_record("server %s: leaves it unanswered", server->id);
		/* Until its caller has closed the connection, or for longer
		 * than anyone waits. */
		rig_sleep_ms(5000);
		free(id);
		return RIG_CLOSE;
	}
	rig_sleep_ms((uint64_t)server->work_ms);
	rig_send(request->fd,
		 "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
		 "Response-Stamp: stamp.%d\r\nKeep-Alive: timeout=10\r\n"
		 "Content-Length: 4\r\n\r\ndone",
		 id, server->arrivals);
	free(id);
	return RIG_KEEP;
}

static void judge(int client, const rig_answer_t *answer)
{
	if (answer->status && answer->whole) {
		if (answer->status == 200)
			whole++;
		else
			failed++;
		if (answer->status != 200)
			rig_record("client %d: status %d after %llu ms", client,
				   answer->status,
				   (unsigned long long)answer->ms);
		return;
	}
	if (!answer->len) {
		silent++;
		rig_record("client %d: no answer after %llu ms", client,
			   (unsigned long long)answer->ms);
		return;
	}
	rig_record("client %d: %zu bytes that are no answer, without "
		   "the end of the head, connection %s, after %llu ms: "
		   "%.27s ...",
		   client, answer->len, answer->closed ? "closed" : "open",
		   (unsigned long long)answer->ms, answer->text);
	broken++;
}

static void *client_main(void *context)
{
	int client = (int)(intptr_t)context;
	unsigned number = 0;

	while (!stop) {
		char id[ID_BYTES + 1];
		char request[1024];
		rig_answer_t answer;

		snprintf(id, sizeof(id), "%0*x", ID_BYTES,
			 (unsigned)client << 24 | number++);
		snprintf(request, sizeof(request),
			 "POST /order/1 HTTP/1.1\r\nHost: h.example\r\n"
			 "Request-Id: %s\r\nKey: key-1\r\nDeadline-Ms: %d\r\n"
			 "Content-Length: 4\r\n\r\nwork",
			 id, TIME_LIMIT_MS);
		/* Until the client's time limit, long past timeout_ms. */
		answer = rig_call(0, request, TIME_LIMIT_MS);
		judge(client, &answer);
		rig_answer_free(&answer);
		rig_sleep_ms(50);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	json_t *routes = json_array();
	pthread_t clients[CLIENTS];

	if (argc != 3)
		return RIG_CANNOT_RUN;
	rig_begin(argv[1], argv[2]);
	rig_store_start();
	json_array_append_new(routes,
			      rig_route("order", "non_idempotent", "desk",
					ROUTE_TIMEOUT_MS, 1, false));
	rig_put_desired(1, routes);
	rig_store_put("versions", "m",
		      json_pack("{s:s,s:i}", "model", "m", "version", 1));
	for (int i = 0; i < SERVERS; i++) {
		servers[i] = (rig_server_t){ .service = "desk",
					     .zone = "iasi-a",
					     .work_ms = 30,
					     .handler = i ? NULL : run_grey };
		snprintf(servers[i].id, sizeof(servers[i].id), "i-%d", i);
		rig_server_start(&servers[i]);
	}
	rig_gateway_start(0, "iasi-a");
	rig_wait_ready(0);
	rig_sleep_ms(3500);
	for (int i = 0; i < CLIENTS; i++)
		pthread_create(&clients[i], NULL, client_main,
			       (void *)(intptr_t)i);
	rig_sleep_ms(1000);
	if (rig_trouble()) {
		grey = true;
		rig_record("server i-0: leaves %d of 100 unanswered",
			   HANG_PERCENT);
	}
	rig_sleep_ms(GREY_MS);
	grey = false;
	rig_sleep_ms(TRAFFIC_MS - GREY_MS);
	stop = true;
	for (int i = 0; i < CLIENTS; i++)
		pthread_join(clients[i], NULL);
	rig_record("served: %d, failed with a whole answer: %d, no bytes: %d, "
		   "bytes that are no answer: %d",
		   whole, failed, silent, broken);
	if (!rig_gateway_running(0) || whole < 50)
		rig_fail("too few requests were served");
	rig_end(broken ? RIG_RULE_BROKEN : RIG_RULE_HELD);
}
