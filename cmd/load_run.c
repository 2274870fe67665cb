#include "cmd/load_run.h"

#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "connection/sse.h"
#include "process/cleanup.h"
#include "process/error.h"

enum {
	LOAD_LINE_MAX_BYTES = 1 << 20,
	LOAD_ERROR_BODY_MAX_BYTES = 4096,
	LOAD_URL_MAX_BYTES = 4096,
	LOAD_HEADER_MAX_BYTES = 256,
	/** Longest wait for the network between two checks of the clock. */
	LOAD_POLL_MS = 5,
	LOAD_CONNECTIONS_MAX = 4096,
};

/** One request in progress to one target. */
typedef struct transfer {
	CURL *curl;
	struct curl_slist *headers;
	load_request_t request; /**< Owns its own copy of the body. */
	load_target_t *target;
	sse_parser_t parser;
	load_result_t result;
	double start_ms; /**< Scheduled arrival of the request. */
	double first_token_ms;
	double last_token_ms;
	uint64_t token_count;
	bool done_seen;
	char text[LOAD_ERROR_BODY_MAX_BYTES]; /**< Body of an error answer. */
	size_t text_len;
} transfer_t;

typedef struct load_run_state {
	const load_run_settings_t *settings;
	CURLM *multi;
	load_target_t *targets;
	size_t target_count;
	double start_ms;
	size_t open;
} load_run_state_t;

static double now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * 1e3 + (double)now.tv_nsec / 1e6;
}

int load_target_parse(const char *text, load_target_t *target)
{
	const char *equals = strchr(text, '=');
	const char *url;

	memset(target, 0, sizeof(*target));
	if (!equals || equals == text || !equals[1])
		return ERR_SETTING;
	target->name = strndup(text, (size_t)(equals - text));
	for (url = equals + 1; *url;) {
		size_t len = strcspn(url, ",");

		if (!len || target->url_count == LOAD_URLS_MAX)
			return ERR_SETTING;
		target->urls[target->url_count++] = strndup(url, len);
		url += len;
		url += *url == ',';
	}
	target->report = load_report_new(target->name);
	return 0;
}

void load_target_free(load_target_t *target)
{
	free(target->name);
	for (size_t i = 0; i < target->url_count; i++)
		free(target->urls[i]);
	if (target->report)
		load_report_free(target->report);
}

static void record_error(transfer_t *transfer, json_t *answer)
{
	json_t *error = json_object_get(answer, "error");
	const char *type = json_string_value(json_object_get(error, "type"));

	snprintf(transfer->result.error, sizeof(transfer->result.error), "%s",
		 type ? type : "unknown");
}

static void record_usage(transfer_t *transfer, json_t *chunk)
{
	json_t *usage = json_object_get(chunk, "usage");
	json_t *details = json_object_get(usage, "prompt_tokens_details");

	if (!json_is_object(usage))
		return;
	transfer->result.prompt_tokens = (uint64_t)json_integer_value(
		json_object_get(usage, "prompt_tokens"));
	transfer->result.cached_tokens = (uint64_t)json_integer_value(
		json_object_get(details, "cached_tokens"));
}

static void record_token(transfer_t *transfer, json_t *chunk)
{
	json_t *choice = json_array_get(json_object_get(chunk, "choices"), 0);
	json_t *delta = json_object_get(choice, "delta");
	json_t *content = json_object_get(delta, "content");

	if (!json_string_length(content))
		return;
	transfer->last_token_ms = now_ms();
	if (!transfer->token_count++)
		transfer->first_token_ms = transfer->last_token_ms;
}

static int handle_event(void *context, const sse_event_t *event)
{
	transfer_t *transfer = context;
	CLEANUP_JSON json_t *chunk = NULL;

	if (!strcmp(event->data, "[DONE]")) {
		transfer->done_seen = true;
		return 0;
	}
	chunk = json_loads(event->data, 0, NULL);
	if (!strcmp(event->event, "error")) {
		record_error(transfer, chunk);
		return 0;
	}
	record_token(transfer, chunk);
	record_usage(transfer, chunk);
	return 0;
}

static size_t receive_body(char *data, size_t size, size_t count, void *context)
{
	transfer_t *transfer = context;
	size_t len = size * count;
	size_t room = sizeof(transfer->text) - 1 - transfer->text_len;
	size_t kept = len < room ? len : room;
	long status = 0;

	curl_easy_getinfo(transfer->curl, CURLINFO_RESPONSE_CODE, &status);
	if (status == 200 && transfer->request.kind != LOAD_ORDER)
		return sse_parser_feed(&transfer->parser, data, len) < 0 ? 0
									 : len;
	memcpy(transfer->text + transfer->text_len, data, kept);
	transfer->text_len += kept;
	return len;
}

static void add_header(transfer_t *transfer, const char *name,
		       const char *value)
{
	char header[2 * LOAD_HEADER_MAX_BYTES];

	snprintf(header, sizeof(header), "%s: %s", name, value);
	transfer->headers = curl_slist_append(transfer->headers, header);
}

static void set_headers(transfer_t *transfer,
			const load_run_settings_t *settings)
{
	char value[LOAD_HEADER_MAX_BYTES];

	snprintf(value, sizeof(value), "Bearer %s%u", settings->key_prefix,
		 transfer->request.customer);
	add_header(transfer, "Authorization", value);
	add_header(transfer, "Content-Type", "application/json");
	add_header(transfer, "X-Kind", load_kind_name(transfer->request.kind));
	/* Targets may be engines, so add the headers that instances send. */
	snprintf(value, sizeof(value), "load-%llu.1",
		 (unsigned long long)transfer->request.number);
	add_header(transfer, "X-Attempt", value);
	snprintf(value, sizeof(value), "c%u", transfer->request.customer);
	add_header(transfer, "X-Cache-Salt", value);
	if (transfer->request.kind == LOAD_ORDER)
		add_header(transfer, "Idempotency-Key",
			   transfer->request.idempotency_key);
}

static void set_url(transfer_t *transfer, const load_run_settings_t *settings)
{
	const load_target_t *target = transfer->target;
	char url[LOAD_URL_MAX_BYTES];
	/* Like the platform's load balancer, spreads requests evenly. */
	const char *base =
		target->urls[transfer->request.number % target->url_count];

	if (transfer->request.kind == LOAD_ORDER)
		snprintf(url, sizeof(url), "%s/svc/%s/orders", base,
			 settings->route);
	else
		snprintf(url, sizeof(url), "%s/v1/chat/completions", base);
	curl_easy_setopt(transfer->curl, CURLOPT_URL, url);
}

static void free_transfer(transfer_t *transfer)
{
	curl_slist_free_all(transfer->headers);
	curl_easy_cleanup(transfer->curl);
	sse_parser_free(&transfer->parser);
	load_request_free(&transfer->request);
	free(transfer);
}

static transfer_t *new_transfer(const load_request_t *request,
				load_target_t *target,
				const load_run_settings_t *settings)
{
	transfer_t *transfer = calloc(1, sizeof(*transfer));

	if (!transfer)
		return NULL;
	transfer->request = *request;
	transfer->request.body = strdup(request->body);
	transfer->target = target;
	transfer->result.kind = request->kind;
	transfer->result.arrival_ms = request->arrival_ms;
	transfer->result.ideal_cached_tokens = request->ideal_cached_tokens;
	transfer->curl = curl_easy_init();
	sse_parser_init(&transfer->parser, LOAD_LINE_MAX_BYTES,
			LOAD_LINE_MAX_BYTES, handle_event, transfer);
	if (!transfer->curl || !transfer->request.body) {
		free_transfer(transfer);
		return NULL;
	}
	set_headers(transfer, settings);
	set_url(transfer, settings);
	return transfer;
}

static int start_transfer(load_run_state_t *state,
			  const load_request_t *request, load_target_t *target)
{
	transfer_t *transfer = new_transfer(request, target, state->settings);
	CURL *curl;

	if (!transfer)
		return ERR_NO_MEMORY;
	curl = transfer->curl;
	curl_easy_setopt(curl, CURLOPT_PRIVATE, transfer);
	curl_easy_setopt(curl, CURLOPT_HTTPHEADER, transfer->headers);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDS, transfer->request.body);
	curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE,
			 (long)transfer->request.body_bytes);
	curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, receive_body);
	curl_easy_setopt(curl, CURLOPT_WRITEDATA, transfer);
	curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS,
			 (long)state->settings->request_limit_ms);
	/* A delay in this tool counts as latency of the request. */
	transfer->start_ms = state->start_ms + (double)request->arrival_ms;
	curl_multi_add_handle(state->multi, curl);
	state->open++;
	return 0;
}

static load_outcome_t transfer_outcome(transfer_t *transfer, CURLcode code)
{
	long status = 0;

	curl_easy_getinfo(transfer->curl, CURLINFO_RESPONSE_CODE, &status);
	if (!status)
		return LOAD_NO_ANSWER;
	if (status >= 400) {
		CLEANUP_JSON json_t *answer = NULL;

		transfer->text[transfer->text_len] = '\0';
		answer = json_loads(transfer->text, 0, NULL);
		record_error(transfer, answer);
		return LOAD_REFUSED;
	}
	if (transfer->result.error[0])
		return LOAD_ERROR;
	if (code != CURLE_OK ||
	    (transfer->request.kind != LOAD_ORDER && !transfer->done_seen))
		return LOAD_TRUNCATED;
	return LOAD_COMPLETE;
}

static void finish_transfer(load_run_state_t *state, transfer_t *transfer,
			    CURLcode code)
{
	load_result_t *result = &transfer->result;

	result->outcome = transfer_outcome(transfer, code);
	if (transfer->token_count)
		result->ttft_ms = transfer->first_token_ms - transfer->start_ms;
	if (transfer->token_count > 1)
		result->gap_mean_ms =
			(transfer->last_token_ms - transfer->first_token_ms) /
			(double)(transfer->token_count - 1);
	load_report_add(transfer->target->report, result);
	curl_multi_remove_handle(state->multi, transfer->curl);
	free_transfer(transfer);
	state->open--;
}

static void finish_transfers(load_run_state_t *state)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(state->multi, &left))) {
		transfer_t *transfer = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
				  (char **)&transfer);
		finish_transfer(state, transfer, message->data.result);
	}
}

static void run_network(load_run_state_t *state)
{
	int running;

	curl_multi_perform(state->multi, &running);
	finish_transfers(state);
	curl_multi_poll(state->multi, NULL, 0, LOAD_POLL_MS, NULL);
}

static int send_to_all(load_run_state_t *state, const load_request_t *request)
{
	for (size_t i = 0; i < state->target_count; i++) {
		int err = start_transfer(state, request, &state->targets[i]);

		if (err)
			return err;
	}
	return 0;
}

int load_run(load_workload_t *workload, load_target_t *targets, size_t count,
	     const load_run_settings_t *settings)
{
	load_run_state_t state = {
		.settings = settings,
		.multi = curl_multi_init(),
		.targets = targets,
		.target_count = count,
		.start_ms = now_ms(),
	};
	load_request_t request;
	int err = state.multi ? 0 : ERR_NO_MEMORY;

	if (!err)
		curl_multi_setopt(state.multi, CURLMOPT_MAXCONNECTS,
				  (long)LOAD_CONNECTIONS_MAX);
	while (!err && load_workload_next(workload, &request)) {
		while (now_ms() < state.start_ms + (double)request.arrival_ms)
			run_network(&state);
		err = send_to_all(&state, &request);
		load_request_free(&request);
	}
	while (!err && state.open)
		run_network(&state);
	curl_multi_cleanup(state.multi);
	return err;
}
