#include "process/store_link.h"

#include <stdlib.h>

#include "connection/http_call.h"
#include "platform/platform_objects.h"
#include "process/error.h"

struct store_call {
	store_link_t *link;
	http_call_t *call;
	uint64_t era;  /**< Of the answer. */
	int era_error; /**< Of reading it. */
	store_call_fn *done;
	void *context;
};

static void learn_era(store_link_t *link, uint64_t era)
{
	if (era <= link->era)
		return;
	link->era = era;
	link->era_changed(link->context);
}

static int store_error(int err, uint16_t status)
{
	if (err == ERR_CONNECT)
		return ERR_STORE_DOWN;
	return err ? ERR_STORE_UNKNOWN : platform_store_error(status);
}

static void on_head(void *context, const http_head_t *head)
{
	store_call_t *call = context;

	call->era_error = platform_read_store_era(head, &call->era);
}

static void on_done(void *context, int err, uint16_t status, const char *body,
		    size_t len)
{
	store_call_t *call = context;
	store_link_t *link = call->link;
	store_answer_t answer = {
		.err = store_error(err, status),
		.too_long = err == ERR_LIMIT,
		.era = call->era,
		.body = body,
		.len = len,
	};

	if (!answer.err)
		answer.err = call->era_error;
	if (answer.era && answer.era < link->era)
		answer.err = ERR_STORE_UNKNOWN;
	call->done(call->context, &answer);
	free(call);
	learn_era(link, answer.era);
}

store_call_t *store_call_send(store_link_t *link, struct evbuffer *message,
			      uint32_t timeout_ms, store_call_fn *done,
			      void *context)
{
	store_call_t *call = calloc(1, sizeof(*call));

	if (!call)
		return NULL;
	call->link = link;
	call->done = done;
	call->context = context;
	call->call = http_call_send(link->outbound, link->base, &link->target,
				    message, HTTP_CALL_STORE_MAX_BYTES,
				    timeout_ms, on_done, call);
	if (!call->call) {
		free(call);
		return NULL;
	}
	http_call_on_head(call->call, on_head);
	return call;
}

void store_call_cancel(store_call_t *call)
{
	http_call_cancel(call->call);
	free(call);
}
