/* Crash evidence in the platform's store, so that it outlives all instances. */
#include "cmd/gateway_archive.h"

#include <stdlib.h>

#include "platform/platform_objects.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/crash_archive.h"
#include "process/error.h"
#include "process/event.h"

/** Name of the store object that holds the evidence. */
#define ARCHIVE_OBJECT_NAME "evidence"

struct gateway_archive {
	gateway_control_t *control;
	crash_archive_t archive;
	store_call_t *call;
	bool writing;		   /**< The open call writes. */
	crash_snapshot_t *current; /**< Last one of the front thread. */
	crash_snapshot_t read;	   /**< From the store. */
	size_t passed;		   /**< News of it that the front got. */
};

static int read_answer(gateway_archive_t *archive, const store_answer_t *answer,
		       uint64_t *revision)
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
	if (!archive->writing)
		crash_snapshot_from_json(item.spec, &archive->read);
	return 0;
}

static void handle_result(gateway_archive_t *archive, int err,
			  uint64_t revision)
{
	uint64_t now_ms = clock_now_ms();
	const crash_snapshot_t *rows =
		archive->writing ? &archive->archive.sent : &archive->read;

	event_log(archive->writing ? EVENT_CRASH_EVIDENCE_WRITTEN
				   : EVENT_CRASH_EVIDENCE_READ,
		  "result=%s keys=%zu", error_type(err), rows->count);
	if (archive->writing) {
		crash_archive_on_written(&archive->archive, err, revision,
					 now_ms);
		return;
	}
	archive->passed = 0;
	crash_archive_on_read(&archive->archive, err, revision, rows, now_ms);
}

static void on_answer(void *context, const store_answer_t *answer)
{
	gateway_archive_t *archive = context;
	uint64_t revision = 0;
	int err;

	archive->call = NULL;
	if (!archive->writing)
		archive->read.count = 0;
	err = read_answer(archive, answer, &revision);
	handle_result(archive, err, revision);
}

static int write_message(const crash_archive_t *archive,
			 struct evbuffer *message)
{
	CLEANUP_JSON json_t *spec = crash_snapshot_to_json(&archive->sent);

	if (!spec)
		return ERR_NO_MEMORY;
	return archive->revision
		       ? platform_write_replace(message, OBJECT_CRASHES,
						ARCHIVE_OBJECT_NAME,
						archive->revision, spec)
		       : platform_write_create(message, OBJECT_CRASHES,
					       ARCHIVE_OBJECT_NAME, spec);
}

static void send_call(gateway_archive_t *archive, bool writing)
{
	struct evbuffer *message = evbuffer_new();
	int err = message ? 0 : ERR_NO_MEMORY;

	archive->writing = writing;
	if (!err && writing)
		err = write_message(&archive->archive, message);
	else if (!err)
		platform_write_get(message, OBJECT_CRASHES,
				   ARCHIVE_OBJECT_NAME);
	if (!err)
		archive->call = gateway_control_store_call(
			archive->control, message, on_answer, archive);
	if (message)
		evbuffer_free(message);
	if (!archive->call)
		handle_result(archive, err ? err : ERR_CONNECT, 0);
}

/* Passes on what was read, as far as the ring has room. A snapshot from before
 * does not contain it. */
static void pass_news(gateway_archive_t *archive, uint64_t now_ms)
{
	gateway_t *gateway = archive->control->gateway;

	if (archive->passed == archive->read.count)
		return;
	while (archive->passed < archive->read.count) {
		crash_report_t report = crash_report_from_news(
			&archive->read.news[archive->passed], now_ms);

		report.from_store = true;
		if (!crash_ring_put(&gateway->peer_crash_news, &report))
			break;
		archive->passed++;
	}
	free(crash_snapshot_get(&gateway->crash_snapshots));
	free(archive->current);
	archive->current = NULL;
}

static void take_snapshot(gateway_archive_t *archive, bool writer)
{
	crash_snapshot_slot_t *slot =
		&archive->control->gateway->crash_snapshots;
	crash_snapshot_t *newest = crash_snapshot_get(slot);

	atomic_store(&slot->wanted, writer);
	if (!newest)
		return;
	free(archive->current);
	archive->current = newest;
}

void gateway_archive_tick(gateway_archive_t *archive, uint64_t now_ms)
{
	gateway_control_t *control = archive->control;
	crash_archive_input_t input = {
		.reachable = gateway_control_store_reachable(control),
		.writer =
			gateway_peers_is_first_watcher(control->peers, now_ms),
	};

	take_snapshot(archive, input.writer);
	pass_news(archive, now_ms);
	input.current = archive->current;
	switch (crash_archive_step(&archive->archive, &input, now_ms)) {
	case CRASH_ARCHIVE_NONE:
		return;
	case CRASH_ARCHIVE_READ:
		send_call(archive, false);
		return;
	case CRASH_ARCHIVE_WRITE:
		send_call(archive, true);
		return;
	}
}

gateway_archive_t *gateway_archive_open(gateway_control_t *control)
{
	gateway_archive_t *archive = calloc(1, sizeof(*archive));

	if (archive)
		archive->control = control;
	return archive;
}

void gateway_archive_close(gateway_archive_t *archive)
{
	if (!archive)
		return;
	if (archive->call)
		store_call_cancel(archive->call);
	free(archive->current);
	free(archive);
}
