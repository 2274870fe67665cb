/* The log of the orders to engines: its calls to the store. */
#include "cmd/gateway_rollout_log.h"

#include <stdlib.h>

#include "platform/platform_objects.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"

/** Name of the store object that holds the log, beside that of the lease. */
#define LOG_OBJECT_NAME "weights-orders"

struct gateway_rollout_log {
	gateway_control_t *control;
	rollout_log_t log;
	store_call_t *call;
	bool writing; /**< The open call writes. */
	gateway_rollout_logged_fn *logged;
	void *context;
};

static int read_answer(gateway_rollout_log_t *log, const store_answer_t *answer,
		       uint64_t *revision, rollout_log_record_t *record)
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
	if (log->writing)
		return 0;
	err = rollout_log_from_json(item.spec, record);
	if (err != ERR_BAD_JSON)
		return err;
	/* It is replaced by the next write. */
	rollout_log_record_free(record);
	return 0;
}

static void handle_result(gateway_rollout_log_t *log, int err,
			  uint64_t revision, const rollout_log_record_t *record)
{
	uint64_t now_ms = clock_now_ms();

	if (log->writing) {
		event_log(EVENT_ROLLOUT_LOG_WRITTEN,
			  "result=%s fencing=%llu orders=%zu", error_type(err),
			  (unsigned long long)log->log.fencing,
			  log->log.written.count);
		rollout_log_on_written(&log->log, err, revision, now_ms);
		if (!err)
			log->logged(log->context);
		return;
	}
	event_log(EVENT_ROLLOUT_LOG_READ,
		  "result=%s fencing=%llu era=%llu written_by=%llu "
		  "written_era=%llu orders=%zu",
		  error_type(err), (unsigned long long)log->log.fencing,
		  (unsigned long long)log->log.era,
		  (unsigned long long)record->fencing,
		  (unsigned long long)record->era, record->count);
	rollout_log_on_read(&log->log, err, revision, record, now_ms);
}

static void on_answer(void *context, const store_answer_t *answer)
{
	gateway_rollout_log_t *log = context;
	CLEANUP_ROLLOUT_LOG_RECORD rollout_log_record_t record = { 0 };
	uint64_t revision = 0;
	int err;

	log->call = NULL;
	err = read_answer(log, answer, &revision, &record);
	handle_result(log, err, revision, &record);
}

static int write_message(const rollout_log_t *log, struct evbuffer *message)
{
	CLEANUP_JSON json_t *spec = rollout_log_to_json(&log->written);

	if (!spec)
		return ERR_NO_MEMORY;
	return log->revision ? platform_write_replace(message, OBJECT_LEASES,
						      LOG_OBJECT_NAME,
						      log->revision, spec)
			     : platform_write_create(message, OBJECT_LEASES,
						     LOG_OBJECT_NAME, spec);
}

static void send_call(gateway_rollout_log_t *log, bool writing)
{
	const rollout_log_record_t nothing = { 0 };
	struct evbuffer *message = evbuffer_new();
	int err = message ? 0 : ERR_NO_MEMORY;

	log->writing = writing;
	if (!err && writing)
		err = write_message(&log->log, message);
	else if (!err)
		platform_write_get(message, OBJECT_LEASES, LOG_OBJECT_NAME);
	if (!err)
		log->call = gateway_control_store_call(log->control, message,
						       on_answer, log);
	if (message)
		evbuffer_free(message);
	if (!log->call)
		handle_result(log, err ? err : ERR_STORE_DOWN, 0, &nothing);
}

void gateway_rollout_log_step(gateway_rollout_log_t *log)
{
	switch (rollout_log_step(&log->log, clock_now_ms())) {
	case ROLLOUT_LOG_NONE:
		return;
	case ROLLOUT_LOG_READ:
		send_call(log, false);
		return;
	case ROLLOUT_LOG_WRITE:
		send_call(log, true);
		return;
	}
}

void gateway_rollout_log_set_term(gateway_rollout_log_t *log, uint64_t fencing,
				  uint64_t observed_ms)
{
	const gateway_control_t *control = log->control;
	rollout_term_t term = {
		.fencing = fencing,
		.era = control->store.era,
		.transit_ms = (uint32_t)control->gateway->settings.lease_ms,
		.observed_ms = observed_ms,
	};

	if (log->call)
		store_call_cancel(log->call);
	log->call = NULL;
	if (!fencing) {
		rollout_log_end(&log->log);
		return;
	}
	rollout_log_begin(&log->log, &term, clock_now_ms());
	gateway_rollout_log_step(log);
}

rollout_log_t *gateway_rollout_log_state(gateway_rollout_log_t *log)
{
	return &log->log;
}

gateway_rollout_log_t *
gateway_rollout_log_open(gateway_control_t *control,
			 gateway_rollout_logged_fn *logged, void *context)
{
	gateway_rollout_log_t *log = calloc(1, sizeof(*log));

	if (!log)
		return NULL;
	log->control = control;
	log->logged = logged;
	log->context = context;
	return log;
}

void gateway_rollout_log_close(gateway_rollout_log_t *log)
{
	if (log->call)
		store_call_cancel(log->call);
	rollout_log_free(&log->log);
	free(log);
}
