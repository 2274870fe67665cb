/* The desired state, which instances send to each other in pieces. */
#include <stdlib.h>
#include <string.h>

#include "cmd/gateway_peers.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"

/** Path of a piece; target, base and offset follow. */
#define DESIRED_PATH "/desired?"

/* Serving. */

/* Adds the table's content to the history unless it is the newest version. */
static void update_history(gateway_desired_t *desired,
			   const object_table_t *table)
{
	uint64_t digest = object_table_digest(table);
	CLEANUP_JSON json_t *state = NULL;
	char *text;

	if (!table->complete || (document_history_newest(&desired->history) &&
				 desired->table_digest == digest))
		return;
	state = object_table_export_content(table);
	text = state ? json_dumps(state, JSON_COMPACT | JSON_SORT_KEYS) : NULL;
	if (text &&
	    !document_history_add(&desired->history, text, strlen(text)))
		desired->table_digest = digest;
}

static uint64_t read_number(const char **query)
{
	uint64_t number = strtoull(*query, (char **)query, 10);

	*query += **query == ',';
	return number;
}

static void log_served(const document_patch_t *patch, uint64_t begin_ms)
{
	event_log(EVENT_STATE_SERVED,
		  "kind=desired text=%zu patch=%zu from_base=%d encode_ms=%llu",
		  patch ? patch->text_bytes : 0, patch ? patch->len : 0,
		  patch && patch->base,
		  (unsigned long long)(clock_now_ms() - begin_ms));
}

bool gateway_desired_serve(gateway_peers_t *peers, inbound_request_t *request)
{
	const char *query = http_head_target(request->head);
	gateway_desired_t *desired = &peers->desired;
	uint64_t begin_ms = clock_now_ms();
	CLEANUP_FREE char *piece = NULL;
	const document_patch_t *patch;
	uint64_t target;
	uint64_t base;
	uint64_t offset;
	size_t len = 0;

	if (strncmp(query, DESIRED_PATH, strlen(DESIRED_PATH)) != 0)
		return false;
	query += strlen(DESIRED_PATH);
	target = read_number(&query);
	base = read_number(&query);
	offset = read_number(&query);
	update_history(desired,
		       &peers->control->view_builder.tables[OBJECT_DESIRED]);
	patch = document_history_patch(&desired->history, target, base);
	if (patch)
		piece = document_piece_encode(patch, offset, &len);
	if (!offset)
		log_served(patch, begin_ms);
	inbound_answer(request, piece ? 200 : 404, NULL, piece, len);
	return true;
}

/* Fetching. */

static void import_desired(gateway_peers_t *peers, size_t patch_bytes)
{
	state_fetch_t *fetch = &peers->fetches[FETCH_DESIRED];
	gateway_control_t *control = peers->control;
	object_table_t *table = &control->view_builder.tables[OBJECT_DESIRED];
	const document_version_t *version = document_transfer_finish(
		&peers->desired.transfer, &peers->desired.history);
	CLEANUP_JSON json_t *state =
		version ? json_loadb(version->text, version->len, 0, NULL)
			: NULL;
	uint64_t now_ms = clock_now_ms();
	int result = state ? object_table_import(table, state, now_ms)
			   : ERR_BAD_JSON;

	if (result < 0) {
		gateway_state_failed(fetch, result, 200, patch_bytes);
		return;
	}
	event_log(EVENT_PEER_STATE, "kind=desired changed=%d bytes=%zu ms=%llu",
		  result, patch_bytes,
		  (unsigned long long)(now_ms - peers->desired.begun_ms));
	if (result)
		gateway_control_rebuild(control);
}

static void on_piece(void *context, int err, uint16_t status, const char *body,
		     size_t len)
{
	state_fetch_t *fetch = context;
	gateway_desired_t *desired = &fetch->peers->desired;
	size_t patch_bytes = 0;
	int result;

	fetch->call = NULL;
	if (!err && status == 404 && !desired->transfer.patch.target) {
		fetch->peer->sends_whole = true;
		event_active(desired->next_piece, 0, 0);
		return;
	}
	if (err || status != 200) {
		/* The peer no longer has this version. */
		if (!err && status == 404)
			document_transfer_clear(&desired->transfer);
		gateway_state_failed(fetch, err, status, len);
		return;
	}
	result = document_transfer_add(&desired->transfer, body, len);
	patch_bytes = desired->transfer.patch.len;
	if (result < 0) {
		document_transfer_clear(&desired->transfer);
		gateway_state_failed(fetch, result, status, len);
	} else if (result) {
		import_desired(fetch->peers, patch_bytes);
	} else {
		event_active(desired->next_piece, 0, 0);
	}
}

void gateway_desired_fetch(gateway_peers_t *peers, peer_t *peer)
{
	gateway_desired_t *desired = &peers->desired;
	const document_transfer_t *transfer = &desired->transfer;
	uint64_t base = transfer->patch.target
				? transfer->patch.base
				: document_history_newest(&desired->history);
	struct evbuffer *message;

	if (peer->sends_whole) {
		gateway_state_fetch_tables(&peers->fetches[FETCH_DESIRED],
					   peer);
		return;
	}
	message = evbuffer_new();
	if (!message)
		return;
	if (!transfer->received)
		desired->begun_ms = clock_now_ms();
	evbuffer_add_printf(message,
			    "GET " DESIRED_PATH "%llu,%llu,%zu HTTP/1.1\r\n"
			    "Host: peer\r\n\r\n",
			    (unsigned long long)transfer->patch.target,
			    (unsigned long long)base, transfer->received);
	gateway_state_send(&peers->fetches[FETCH_DESIRED], peer, message,
			   on_piece);
	evbuffer_free(message);
}

static void on_next_piece(evutil_socket_t fd, short what, void *context)
{
	gateway_peers_t *peers = context;

	(void)fd;
	(void)what;
	if (!peers->fetches[FETCH_DESIRED].call)
		gateway_desired_fetch(peers,
				      peers->fetches[FETCH_DESIRED].peer);
}

int gateway_desired_open(gateway_peers_t *peers)
{
	peers->desired.next_piece =
		evtimer_new(peers->control->base, on_next_piece, peers);
	return peers->desired.next_piece ? 0 : ERR_NO_MEMORY;
}

void gateway_desired_close(gateway_peers_t *peers)
{
	if (peers->desired.next_piece)
		event_free(peers->desired.next_piece);
	document_transfer_clear(&peers->desired.transfer);
	document_history_free(&peers->desired.history);
}
