#include "request/relay_output.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "process/metrics.h"

/* Parameters of the FNV-1a hash. */
#define FNV_OFFSET UINT64_C(0xcbf29ce484222325)
#define FNV_PRIME UINT64_C(0x100000001b3)

uint64_t relay_text_hash(uint64_t hash, const char *text, size_t len)
{
	for (size_t i = 0; i < len; i++)
		hash = (hash ^ (unsigned char)text[i]) * FNV_PRIME;
	return hash;
}

void relay_output_init(relay_output_t *output)
{
	*output = (relay_output_t){
		.text_hash = FNV_OFFSET,
		.text_known = true,
	};
}

void relay_output_free(relay_output_t *output)
{
	byte_buffer_free(&output->text);
	json_decref(output->finish_chunk);
	output->finish_chunk = NULL;
}

void relay_output_start_attempt(relay_output_t *output)
{
	output->prefill_received = false;
	output->finish_chunk_received = false;
	output->done_received = false;
	json_decref(output->finish_chunk);
	output->finish_chunk = NULL;
}

int relay_output_set_text(relay_output_t *output, const char *text,
			  size_t text_len)
{
	output->text_known = true;
	output->text.len = 0;
	return byte_buffer_add(&output->text, text, text_len);
}

static int add_text(relay_output_t *output, const char *text, size_t len)
{
	output->text_hash = relay_text_hash(output->text_hash, text, len);
	if (!output->text_known)
		return 0;
	if (output->text.len + len <= RELAY_TEXT_MAX_BYTES)
		return byte_buffer_add(&output->text, text, len);
	/* A non-streaming answer is built from the stored text, which must
	 * therefore be complete. */
	output->text_known = false;
	return output->is_stream ? 0 : ERR_LIMIT;
}

static int begin_stream(relay_output_t *output)
{
	int err;

	if (output->head_sent)
		return 0;
	err = server_stream_begin(output->client_request, 200,
				  "text/event-stream",
				  "Cache-Control: no-store\r\n");
	output->head_sent = true;
	return err;
}

/** Sends one event; its id is the token to resume the stream after it. */
static int send_event(relay_output_t *output, const char *data, size_t len)
{
	char id[RESUME_TOKEN_MAX_BYTES];
	sse_event_t event = { .id = id, .data = data, .data_len = len };
	CLEANUP_FREE char *text = NULL;
	size_t text_len = 0;
	int err;

	output->token.position = output->position;
	output->token.text_hash = output->text_hash;
	output->token.expires_s = (uint64_t)time(NULL) + RELAY_TOKEN_VALID_S;
	err = resume_token_encode(output->key, &output->token, id);
	if (err)
		return err;
	text = sse_format(&event, &text_len);
	if (!text)
		return ERR_NO_MEMORY;
	err = begin_stream(output);
	if (!err)
		err = server_stream_write(output->client_request, text,
					  text_len);
	output->client_err = err;
	return err;
}

/** Sends an event that has no token; its id allows a resume from the start. */
static int send_first_event(relay_output_t *output)
{
	static const char *const first[] = {
		[CHAT_MESSAGES] = "{\"choices\":[{\"index\":0,\"delta\":"
				  "{\"role\":\"assistant\","
				  "\"content\":\"\"}}]}",
		[CHAT_PROMPT] = "{\"choices\":[{\"index\":0,\"text\":\"\"}]}",
	};
	const char *data = first[output->kind];

	if (!output->is_stream || output->head_sent)
		return 0;
	if (output->is_resumed) {
		output->client_err = begin_stream(output);
		return output->client_err;
	}
	return send_event(output, data, strlen(data));
}

static uint32_t get_u32(const json_t *object, const char *name)
{
	json_int_t value = json_integer_value(json_object_get(object, name));

	return value > 0 && value <= UINT32_MAX ? (uint32_t)value : 0;
}

static int handle_prefill(relay_output_t *output, const json_t *chunk)
{
	if (output->prefill_received)
		return ERR_ENDPOINT_ANSWER;
	output->prefill_received = true;
	output->prefill = (relay_prefill_t){
		.cached_tokens = get_u32(chunk, "cached_tokens"),
		.prompt_tokens = get_u32(chunk, "prompt_tokens"),
		.queue_ms = get_u32(chunk, "queue_ms"),
	};
	output->on_prefill(output->context, &output->prefill);
	return send_first_event(output);
}

/** Text of a token: `delta.content`, or `text` in /v1/completions. */
static const json_t *token_content(const json_t *choice)
{
	const json_t *delta = json_object_get(choice, "delta");
	const json_t *content = json_object_get(delta, "content");

	return content ? content : json_object_get(choice, "text");
}

static bool parse_index(const char *text, uint64_t *index)
{
	char *end;

	if (!*text || strspn(text, "0123456789") != strlen(text) ||
	    strlen(text) > 18)
		return false;
	*index = strtoull(text, &end, 10);
	return true;
}

static int handle_token(relay_output_t *output, const sse_event_t *event,
			const json_t *content)
{
	uint64_t index;
	int err;

	if (!json_is_string(content) || !parse_index(event->id, &index) ||
	    index > output->position)
		return ERR_ENDPOINT_ANSWER;
	/* Already sent by an earlier attempt. */
	if (index < output->position)
		return 0;
	err = add_text(output, json_string_value(content),
		       json_string_length(content));
	if (err)
		return err;
	output->position++;
	metrics_add(METRIC_RELAYED_TOKENS, 1);
	output->on_token(output->context);
	return output->is_stream
		       ? send_event(output, event->data, event->data_len)
		       : 0;
}

static int handle_finish_chunk(relay_output_t *output, const sse_event_t *event,
			       json_t *chunk)
{
	output->finish_chunk_received = true;
	output->finish_chunk = json_incref(chunk);
	/* An earlier attempt may have failed right after this chunk. */
	if (!output->is_stream || output->finish_chunk_sent)
		return 0;
	output->finish_chunk_sent = true;
	return send_event(output, event->data, event->data_len);
}

int relay_output_on_event(void *context, const sse_event_t *event)
{
	relay_output_t *output = context;
	CLEANUP_JSON json_t *chunk = NULL;
	const json_t *choice;
	const json_t *reason;

	if (output->done_received)
		return ERR_ENDPOINT_ANSWER;
	if (!strcmp(event->data, "[DONE]")) {
		output->done_received = output->finish_chunk_received;
		return output->finish_chunk_received ? 0 : ERR_ENDPOINT_ANSWER;
	}
	if (chat_is_too_deep(event->data, event->data_len))
		return ERR_ENDPOINT_ANSWER;
	chunk = json_loadb(event->data, event->data_len, JSON_ALLOW_NUL, NULL);
	if (!json_is_object(chunk) || output->finish_chunk_received)
		return ERR_ENDPOINT_ANSWER;
	if (json_object_get(chunk, "amv"))
		return handle_prefill(output, chunk);
	if (!output->prefill_received)
		return ERR_ENDPOINT_ANSWER;
	choice = json_array_get(json_object_get(chunk, "choices"), 0);
	reason = json_object_get(choice, "finish_reason");
	if (*event->id)
		return handle_token(output, event, token_content(choice));
	if (json_is_string(reason))
		return handle_finish_chunk(output, event, chunk);
	return ERR_ENDPOINT_ANSWER;
}

static int finish_stream(relay_output_t *output)
{
	static const char done[] = "data: [DONE]\n\n";
	int err = server_stream_write(output->client_request, done,
				      sizeof(done) - 1);

	return err ? err : server_stream_end(output->client_request);
}

static json_t *build_choice(const relay_output_t *output)
{
	json_t *choice = json_array_get(
		json_object_get(output->finish_chunk, "choices"), 0);
	json_t *reason = json_object_get(choice, "finish_reason");
	json_t *text = json_stringn(
		output->text.bytes ? output->text.bytes : "", output->text.len);

	if (output->kind == CHAT_PROMPT)
		return json_pack("{s:i,s:o,s:O}", "index", 0, "text", text,
				 "finish_reason", reason);
	return json_pack("{s:i,s:{s:s,s:o},s:O}", "index", 0, "message", "role",
			 "assistant", "content", text, "finish_reason", reason);
}

static int finish_json(relay_output_t *output, const char *request_id,
		       const char *model)
{
	json_t *usage = json_object_get(output->finish_chunk, "usage");
	CLEANUP_JSON json_t *answer = json_pack(
		"{s:s,s:s,s:I,s:s,s:[o],s:O*}", "id", request_id, "object",
		output->kind == CHAT_PROMPT ? "text_completion"
					    : "chat.completion",
		"created", (json_int_t)time(NULL), "model", model, "choices",
		build_choice(output), "usage", usage);
	CLEANUP_FREE char *text = json_dumps(answer, JSON_COMPACT);

	if (!text)
		return ERR_NO_MEMORY;
	output->head_sent = true;
	return server_answer(output->client_request, 200, "application/json",
			     NULL, text, strlen(text));
}

int relay_output_finish(relay_output_t *output, const char *request_id,
			const char *model)
{
	return output->is_stream ? finish_stream(output)
				 : finish_json(output, request_id, model);
}

void relay_output_fail(relay_output_t *output, const server_error_t *error)
{
	CLEANUP_FREE char *body = NULL;
	CLEANUP_FREE char *text = NULL;
	sse_event_t event = { .event = "error" };
	size_t len = 0;

	if (!output->head_sent) {
		server_answer_error(output->client_request, error);
		return;
	}
	metrics_count_error(error->err);
	if (output->client_err || !output->is_stream)
		return;
	body = server_error_body(error);
	if (!body)
		return;
	event.data = body;
	event.data_len = strlen(body);
	text = sse_format(&event, &len);
	if (text && !server_stream_write(output->client_request, text, len))
		server_stream_end(output->client_request);
}
