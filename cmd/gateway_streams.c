/* Streams that may be resumed: the history of the endpoints' software, reports
 * to the writer of the failure domain, and its object in the store. */
#include "cmd/gateway_streams.h"

#include <stdlib.h>
#include <string.h>

#include "cmd/gateway_peers.h"
#include "platform/platform_objects.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"
#include "process/list_currency.h"
#include "process/metrics.h"
#include "process/software_history.h"
#include "process/stream_archive.h"
#include "process/stream_report.h"

enum {
	/** All streams of this instance are reported again after this time, ms:
	 * a report may be lost. */
	REPORT_ALL_MS = 1000,
	/** Streams of a version that is not in the list as of some time begin
	 * later than this after it, ms. The margin is for the way of a
	 * heartbeat. */
	SINGLE_VALID_MS = SOFTWARE_NEW_MS - 100,
	/** While it is not known which versions there were, nothing is written
	 * for this time, ms: others or the lease record will tell. */
	UNKNOWN_UNWRITTEN_MS = 5000,
};

struct gateway_streams {
	gateway_control_t *control;
	uint64_t started_ms;
	software_history_t history;
	software_key_t present[SOFTWARE_HISTORY_MAX];
	size_t present_count;
	char note[SOFTWARE_NOTE_MAX_BYTES];
	bool records; /**< As last logged. */
	/** By the watches of this instance, as of this tick and the one before:
	 * a change that another watch has read is applied by the next tick. */
	uint64_t read_checked_ms;
	uint64_t checked_ms;
	stream_table_t own;
	stream_archive_t archive;
	store_call_t *call;
	bool writing;	      /**< The open call writes. */
	const peer_t *writer; /**< Of the last report; NULL: this instance. */
	uint64_t reported_all_ms;
	stream_report_t report; /**< Rows that are not sent yet. */
};

/* Versions. */

/* Marks the services that a route for resumable streams leads to. */
static bool *mark_stream_services(const desired_state_t *desired)
{
	bool *marked = calloc(desired->service_count + 1, sizeof(*marked));

	for (size_t r = 0; marked && r < desired->route_count; r++) {
		const desired_route_t *route = &desired->routes[r];

		if (route->kind != ROUTE_STREAM || !route->resumable)
			continue;
		for (uint32_t s = 0; s < route->split_count; s++)
			marked[route->splits[s].service] = true;
	}
	return marked;
}

static void add_present(gateway_streams_t *streams, software_key_t key)
{
	for (size_t i = 0; i < streams->present_count; i++) {
		const software_key_t *known = &streams->present[i];

		if (known->service == key.service &&
		    known->software == key.software)
			return;
	}
	if (streams->present_count < SOFTWARE_HISTORY_MAX)
		streams->present[streams->present_count++] = key;
}

static software_key_t entry_key(const desired_service_t *service,
				const endpoint_entry_t *entry)
{
	return (software_key_t){ (uint32_t)hash_string(service->name),
				 entry->software };
}

/* Calls `handle` for each endpoint of a service with streams. */
static void for_each_endpoint(gateway_streams_t *streams,
			      void (*handle)(gateway_streams_t *streams,
					     const endpoint_entry_t *entry,
					     software_key_t key,
					     uint64_t now_ms),
			      uint64_t now_ms)
{
	const view_t *view = streams->control->view_builder.view;
	bool *marked = view ? mark_stream_services(view->desired) : NULL;

	for (size_t s = 0; marked && s < view->desired->service_count; s++) {
		const view_group_t *group = &view->groups[s];

		for (size_t i = 0; marked[s] && i < group->count; i++)
			handle(streams, group->entries[i],
			       entry_key(&view->desired->services[s],
					 group->entries[i]),
			       now_ms);
	}
	free(marked);
}

static void list_endpoint(gateway_streams_t *streams,
			  const endpoint_entry_t *entry, software_key_t key,
			  uint64_t now_ms)
{
	(void)entry;
	(void)now_ms;
	add_present(streams, key);
}

static void mark_new_endpoint(gateway_streams_t *streams,
			      const endpoint_entry_t *entry, software_key_t key,
			      uint64_t now_ms)
{
	if (software_history_is_new(&streams->history, key, now_ms) &&
	    !atomic_load(&entry->load->streams_from_ms))
		atomic_store(&entry->load->streams_from_ms,
			     now_ms + SOFTWARE_NEW_MS);
}

static software_peers_t ask_peers(const gateway_streams_t *streams,
				  uint64_t now_ms)
{
	const gateway_peers_t *peers = streams->control->peers;
	software_peers_t told = { 0 };

	for (size_t i = 0; i < peers->peer_count; i++) {
		const peer_t *peer = peers->peers[i];

		if (!peer->heartbeat.software_complete ||
		    !gateway_peer_is_live(peers, peer, now_ms))
			continue;
		told.any_complete = true;
		told.any_mixed |= peer->heartbeat.software_mixed;
	}
	return told;
}

static void step_history(gateway_streams_t *streams, uint64_t now_ms)
{
	software_peers_t told = ask_peers(streams, now_ms);

	software_history_step(&streams->history, streams->present,
			      streams->present_count, &told, now_ms);
	software_history_write_note(&streams->history, streams->note);
}

const char *gateway_streams_note(const gateway_streams_t *streams)
{
	return streams->note;
}

/* By the watches of this instance only: an age that others tell is not passed
 * on. */
static uint32_t list_age_ms(const gateway_streams_t *streams)
{
	uint64_t age_ms = clock_boot_ms() - streams->checked_ms;

	return streams->checked_ms && age_ms < LIST_AGE_UNKNOWN
		       ? (uint32_t)age_ms
		       : LIST_AGE_UNKNOWN;
}

void gateway_streams_fill_heartbeat(const gateway_streams_t *streams,
				    peer_heartbeat_t *heartbeat,
				    uint64_t now_ms)
{
	heartbeat->software_complete =
		software_history_is_complete(&streams->history);
	heartbeat->software_mixed =
		software_history_says_mixed(&streams->history, now_ms);
	heartbeat->list_age_ms = list_age_ms(streams);
}

/* Digest of the endpoint list if some peer has a later revision, else 0: only
 * then it is needed. */
static uint64_t needed_digest(const gateway_peers_t *peers,
			      const object_table_t *own)
{
	for (size_t i = 0; i < peers->peer_count; i++) {
		if (peers->peers[i]->heartbeat.tables[own->kind].revision >
		    own->revision)
			return object_table_digest(own);
	}
	return 0;
}

static currency_peer_t currency_peer(const peer_t *peer,
				     const object_table_t *own, uint64_t digest)
{
	const peer_table_t *told = &peer->heartbeat.tables[own->kind];

	return (currency_peer_t){
		.domain = peer->heartbeat.domain,
		.ahead = told->revision > own->revision &&
			 told->digest != digest,
		.age_ms = told->revision ? peer->heartbeat.list_age_ms
					 : LIST_AGE_UNKNOWN,
		.heard_ms = peer->arrived_after_ms,
	};
}

/* Time of CLOCK_BOOTTIME as of which the endpoint list is current; 0: unknown.
 */
static uint64_t list_as_of_ms(const gateway_streams_t *streams)
{
	const gateway_control_t *control = streams->control;
	const gateway_peers_t *peers = control->peers;
	const object_table_t *own =
		&control->view_builder.tables[OBJECT_ENDPOINTS];
	uint64_t digest = needed_digest(peers, own);
	const currency_self_t self = {
		.outage = control->outage.active,
		.checked_ms = streams->checked_ms,
	};
	currency_peer_t list[PEERS_MAX];

	for (size_t i = 0; i < peers->peer_count; i++)
		list[i] = currency_peer(peers->peers[i], own, digest);
	return list_currency_as_of(&self, list, peers->peer_count,
				   clock_boot_ms());
}

/* A view that is still to be published may have other versions. */
static uint64_t single_until_ms(const gateway_streams_t *streams)
{
	uint64_t as_of_ms = evtimer_pending(streams->control->rebuild, NULL)
				    ? 0
				    : list_as_of_ms(streams);

	return as_of_ms ? as_of_ms + SINGLE_VALID_MS : 0;
}

static void update_policy(gateway_streams_t *streams, uint64_t now_ms)
{
	const software_history_t *history = &streams->history;
	stream_policy_t *policy = &streams->control->gateway->stream_policy;
	bool mixed = software_history_is_mixed(history, now_ms);
	bool complete = software_history_is_complete(history);
	bool records = mixed || !complete;

	atomic_store(&policy->record, records);
	atomic_store(&policy->complete, complete);
	atomic_store(&policy->single_until_ms,
		     records ? 0 : single_until_ms(streams));
	if (records == streams->records)
		return;
	streams->records = records;
	event_log(EVENT_SOFTWARE_MIXED, "mixed=%d complete=%d known=%s", mixed,
		  complete, streams->note);
}

void gateway_streams_view_changes(gateway_streams_t *streams)
{
	atomic_store(&streams->control->gateway->stream_policy.single_until_ms,
		     0);
}

void gateway_streams_view_changed(gateway_streams_t *streams, uint64_t now_ms)
{
	streams->present_count = 0;
	for_each_endpoint(streams, list_endpoint, now_ms);
	step_history(streams, now_ms);
	for_each_endpoint(streams, mark_new_endpoint, now_ms);
	update_policy(streams, now_ms);
}

void gateway_streams_lease_acquired(gateway_streams_t *streams,
				    const char *note)
{
	uint64_t now_ms = clock_now_ms();

	software_history_read_note(&streams->history, note, now_ms);
	update_policy(streams, now_ms);
}

/* Reports. */

static void send_report(gateway_streams_t *streams)
{
	char bytes[STREAM_REPORT_MAX_BYTES];
	int len;

	if (!streams->report.row_count)
		return;
	streams->report.incarnation = streams->control->gateway->incarnation;
	len = stream_report_encode(&streams->report, bytes, sizeof(bytes));
	if (len > 0 && streams->writer)
		gateway_peers_send_to(streams->control->peers, bytes,
				      (size_t)len, &streams->writer->address);
	streams->report.row_count = 0;
}

/* Tells the writer of a stream; expires_ms 0: it has ended. */
static void report_row(gateway_streams_t *streams, const stream_row_t *row,
		       uint64_t now_ms)
{
	stream_report_t *report = &streams->report;

	if (!streams->writer) {
		if (row->expires_ms)
			stream_archive_put(&streams->archive, row);
		else
			stream_archive_remove(&streams->archive, row->id);
		return;
	}
	report->rows[report->row_count++] = (stream_report_row_t){
		.id = row->id,
		.software = row->software,
		.remaining_ms = row->expires_ms > now_ms
					? (uint32_t)(row->expires_ms - now_ms)
					: 0,
	};
	if (report->row_count == STREAM_REPORT_ROWS_MAX)
		send_report(streams);
}

void gateway_streams_receive(gateway_streams_t *streams, char *bytes,
			     size_t len)
{
	uint64_t now_ms = clock_now_ms();
	stream_report_t report;

	if (stream_report_decode(&report, bytes, len)) {
		metrics_add(METRIC_PEER_REJECTED, 1);
		return;
	}
	for (uint32_t i = 0; i < report.row_count; i++) {
		const stream_report_row_t *told = &report.rows[i];
		stream_row_t row = {
			.id = told->id,
			.software = told->software,
			.expires_ms = now_ms + told->remaining_ms,
		};

		if (told->remaining_ms)
			stream_archive_put(&streams->archive, &row);
		else
			stream_archive_remove(&streams->archive, told->id);
	}
}

static bool is_writer(const gateway_streams_t *streams)
{
	const gateway_control_t *control = streams->control;

	return control->peers->election.watching &&
	       gateway_control_store_reachable(control);
}

/* The writer of the failure domain, if it is another instance: the first
 * watcher by name. */
static const peer_t *find_writer(const gateway_streams_t *streams,
				 uint64_t now_ms)
{
	const gateway_peers_t *peers = streams->control->peers;
	const peer_t *writer = NULL;

	if (is_writer(streams))
		return NULL;
	for (size_t i = 0; i < peers->peer_count; i++) {
		const peer_t *peer = peers->peers[i];

		if (!peer->heartbeat.watching ||
		    peer->heartbeat.domain !=
			    gateway_domain_hash(streams->control) ||
		    !gateway_peer_is_live(peers, peer, now_ms))
			continue;
		if (!writer ||
		    strcmp(peer->heartbeat.name, writer->heartbeat.name) < 0)
			writer = peer;
	}
	return writer;
}

static void report_streams(gateway_streams_t *streams, uint64_t now_ms)
{
	stream_ring_t *ring = &streams->control->gateway->own_streams;
	const peer_t *writer = find_writer(streams, now_ms);
	bool all = writer != streams->writer ||
		   now_ms - streams->reported_all_ms >= REPORT_ALL_MS;
	stream_row_t row;

	streams->writer = writer;
	while (stream_ring_take(ring, &row)) {
		if (row.expires_ms)
			stream_table_put(&streams->own, &row);
		else
			stream_table_remove(&streams->own, row.id);
		report_row(streams, &row, now_ms);
	}
	stream_table_expire(&streams->own, now_ms);
	if (all) {
		streams->reported_all_ms = now_ms;
		for (size_t i = 0; i < streams->own.count; i++)
			report_row(streams, &streams->own.rows[i], now_ms);
	}
	send_report(streams);
}

/* The object of the failure domain. */

static int read_answer(gateway_streams_t *streams, const store_answer_t *answer,
		       uint64_t *revision, stream_table_t *read)
{
	CLEANUP_JSON json_t *root = NULL;
	object_item_t item;
	int err = answer->err;

	if (!err)
		err = platform_read_object(answer->body, answer->len,
					   answer->era, &root, &item);
	if (err)
		return err;
	*revision = item.revision;
	return streams->writing ? 0
				: stream_archive_from_json(
					  item.spec, clock_now_ms(), read);
}

static void handle_result(gateway_streams_t *streams, int err,
			  uint64_t revision, const stream_table_t *read)
{
	uint64_t now_ms = clock_now_ms();

	if (streams->writing) {
		event_log(EVENT_STREAMS_WRITTEN, "result=%s streams=%zu",
			  error_type(err), streams->archive.streams.count);
		stream_archive_on_written(&streams->archive, err, revision,
					  now_ms);
	} else {
		stream_archive_on_read(&streams->archive, err, revision, read,
				       now_ms);
	}
}

static void on_answer(void *context, const store_answer_t *answer)
{
	gateway_streams_t *streams = context;
	stream_table_t read = { 0 };
	uint64_t revision = 0;
	int err;

	streams->call = NULL;
	err = read_answer(streams, answer, &revision, &read);
	handle_result(streams, err, revision, &read);
	stream_table_free(&read);
}

static int write_message(const gateway_streams_t *streams,
			 struct evbuffer *message)
{
	const char *domain = streams->control->gateway->settings.domain;
	const stream_archive_t *archive = &streams->archive;
	CLEANUP_JSON json_t *spec =
		stream_archive_to_json(&archive->streams, clock_now_ms());

	if (!spec)
		return ERR_NO_MEMORY;
	return archive->revision
		       ? platform_write_replace(message, OBJECT_STREAMS, domain,
						archive->revision, spec)
		       : platform_write_create(message, OBJECT_STREAMS, domain,
					       spec);
}

static void send_call(gateway_streams_t *streams, bool writing)
{
	const stream_table_t nothing = { 0 };
	struct evbuffer *message = evbuffer_new();
	int err = message ? 0 : ERR_NO_MEMORY;

	streams->writing = writing;
	if (!err && writing)
		err = write_message(streams, message);
	else if (!err)
		platform_write_get(message, OBJECT_STREAMS,
				   streams->control->gateway->settings.domain);
	if (!err)
		streams->call = gateway_control_store_call(
			streams->control, message, on_answer, streams);
	if (message)
		evbuffer_free(message);
	if (!streams->call)
		handle_result(streams, err ? err : ERR_STORE_DOWN, 0, &nothing);
}

static void step_archive(gateway_streams_t *streams, uint64_t now_ms)
{
	bool known = software_history_is_complete(&streams->history) ||
		     now_ms - streams->started_ms >= UNKNOWN_UNWRITTEN_MS;

	switch (stream_archive_step(&streams->archive,
				    known && is_writer(streams), now_ms)) {
	case STREAM_ARCHIVE_NONE:
		return;
	case STREAM_ARCHIVE_READ:
		send_call(streams, false);
		return;
	case STREAM_ARCHIVE_WRITE:
		send_call(streams, true);
		return;
	}
}

/* With one version, a stream needs no record. */
static void drop_records(gateway_streams_t *streams)
{
	stream_row_t row;

	while (stream_ring_take(&streams->control->gateway->own_streams, &row))
		;
	stream_table_free(&streams->own);
}

void gateway_streams_tick(gateway_streams_t *streams, uint64_t now_ms)
{
	streams->checked_ms = streams->read_checked_ms;
	streams->read_checked_ms =
		gateway_control_list_checked_ms(streams->control);
	step_history(streams, now_ms);
	update_policy(streams, now_ms);
	if (streams->records)
		report_streams(streams, now_ms);
	else
		drop_records(streams);
	step_archive(streams, now_ms);
}

gateway_streams_t *gateway_streams_open(gateway_control_t *control)
{
	gateway_streams_t *streams = calloc(1, sizeof(*streams));

	if (!streams)
		return NULL;
	streams->control = control;
	streams->started_ms = clock_now_ms();
	software_history_init(&streams->history, streams->started_ms);
	return streams;
}

void gateway_streams_close(gateway_streams_t *streams)
{
	if (!streams)
		return;
	if (streams->call)
		store_call_cancel(streams->call);
	stream_table_free(&streams->own);
	stream_archive_free(&streams->archive);
	free(streams);
}
