#include "cmd/load_workload.h"

#include <glib.h>
#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/hash.h"

/** Popularity falls to 1/e over this share of the ranks. */
#define POPULARITY_SCALE 0.25
/** The same after the shift of LOAD_SUBSOL; fewer sections are popular. */
#define SHIFTED_POPULARITY_SCALE 0.05
/** Share of requests for one section after the shift of LOAD_QURESHI. */
#define HOT_SECTION_SHARE 0.8

struct load_workload {
	load_settings_t settings;
	rng_t rng;
	uint64_t number;
	double arrival_ms;
	uint32_t order[LOAD_SECTIONS_MAX]; /**< Sections by popularity rank. */
	bool shifted;
	double next_crash_ms;
	GHashTable *seen_blocks; /**< Chained hashes of all blocks sent. */
};

static void shuffle(load_workload_t *workload)
{
	for (uint32_t i = 0; i < workload->settings.sections; i++) {
		uint32_t j = (uint32_t)rng_below(&workload->rng, i + 1);

		workload->order[i] = workload->order[j];
		workload->order[j] = i;
	}
}

load_workload_t *load_workload_new(const load_settings_t *settings)
{
	load_workload_t *workload = calloc(1, sizeof(*workload));

	if (!workload)
		return NULL;
	workload->settings = *settings;
	rng_init(&workload->rng, settings->seed);
	shuffle(workload);
	workload->next_crash_ms = settings->crash_period_s * 1000.0;
	workload->seen_blocks = g_hash_table_new_full(
		g_int64_hash, g_int64_equal, g_free, NULL);
	return workload;
}

void load_workload_free(load_workload_t *workload)
{
	if (!workload)
		return;
	g_hash_table_destroy(workload->seen_blocks);
	free(workload);
}

void load_request_free(load_request_t *request)
{
	free(request->body);
	request->body = NULL;
}

const char *load_kind_name(load_kind_t kind)
{
	switch (kind) {
	case LOAD_VERDICT:
		return "verdict";
	case LOAD_QUESTION:
		return "question";
	case LOAD_SUMMARY:
		return "summary";
	case LOAD_ORDER:
		return "order";
	case LOAD_KIND_COUNT:
		break;
	}
	return "unknown";
}

/** Draws from `count` ranks with exponentially falling probability. */
static uint32_t draw_rank(load_workload_t *workload, uint32_t count,
			  double scale)
{
	double rank = rng_exponential(&workload->rng, scale * count);

	return rank >= count ? (uint32_t)rng_below(&workload->rng, count)
			     : (uint32_t)rank;
}

static uint32_t draw_section(load_workload_t *workload)
{
	const load_settings_t *settings = &workload->settings;
	double scale = POPULARITY_SCALE;

	if (workload->shifted && settings->deployment == LOAD_QURESHI &&
	    rng_unit(&workload->rng) < HOT_SECTION_SHARE)
		return workload->order[0];
	if (workload->shifted && settings->deployment == LOAD_SUBSOL)
		scale = SHIFTED_POPULARITY_SCALE;
	return workload->order[draw_rank(workload, settings->sections, scale)];
}

static void apply_shift(load_workload_t *workload)
{
	uint32_t shift_s = workload->settings.shift_s;

	if (workload->shifted || !shift_s ||
	    workload->arrival_ms < shift_s * 1000.0)
		return;
	workload->shifted = true;
	shuffle(workload);
}

static load_kind_t draw_kind(load_workload_t *workload)
{
	const load_settings_t *settings = &workload->settings;
	uint64_t draw = rng_below(&workload->rng, 100);

	if (draw < settings->order_percent)
		return LOAD_ORDER;
	draw = rng_below(&workload->rng, 100);
	if (draw < settings->urgent_percent)
		return LOAD_VERDICT;
	if (draw < settings->urgent_percent + settings->deferrable_percent)
		return LOAD_SUMMARY;
	return LOAD_QUESTION;
}

static uint32_t draw_customer(load_workload_t *workload)
{
	const load_settings_t *settings = &workload->settings;

	if (settings->customers < 2 ||
	    rng_below(&workload->rng, 100) < settings->large_percent)
		return 0;
	return 1 + (uint32_t)rng_below(&workload->rng, settings->customers - 1);
}

/** Appends pseudorandom text that depends only on `seed`. */
static void append_text(GString *text, uint64_t seed, size_t bytes)
{
	static const char letters[] = "abcdefghijklmnop";
	rng_t rng;

	rng_init(&rng, seed);
	while (bytes) {
		uint64_t bits = rng_next(&rng);

		for (int i = 0; i < 16 && bytes; i++, bytes--) {
			g_string_append_c(text,
					  i == 15 ? ' ' : letters[bits & 15]);
			bits >>= 4;
		}
	}
}

static json_t *make_message(const char *role, const char *content)
{
	return json_pack("{s:s, s:s}", "role", role, "content", content);
}

/** The parts of a prompt, in their order. */
typedef struct prompt {
	GString *section;
	GString *subsection;
	GString *notes;
} prompt_t;

static size_t blocks_to_bytes(const load_settings_t *settings, uint32_t blocks)
{
	return (size_t)blocks * settings->block_tokens * settings->token_bytes;
}

static prompt_t draw_prompt(load_workload_t *workload,
			    const load_request_t *request)
{
	const load_settings_t *settings = &workload->settings;
	uint32_t section = draw_section(workload);
	uint32_t subsection =
		draw_rank(workload, settings->subsections, POPULARITY_SCALE);
	prompt_t prompt = { g_string_new(NULL), g_string_new(NULL),
			    g_string_new(NULL) };

	append_text(prompt.section, 1000 + section,
		    blocks_to_bytes(settings, settings->section_blocks));
	append_text(prompt.subsection,
		    1000000 + (uint64_t)section * 1000 + subsection,
		    blocks_to_bytes(settings, settings->subsection_blocks));
	if (request->crashing)
		g_string_append(prompt.notes, settings->crash_marker);
	/* Crashing requests all have the same notes. */
	append_text(prompt.notes,
		    request->crashing ? 7 : rng_next(&workload->rng),
		    blocks_to_bytes(settings, settings->notes_blocks));
	return prompt;
}

static json_t *messages_of(const load_settings_t *settings, prompt_t *prompt)
{
	json_t *messages = json_array();

	if (settings->single_message) {
		g_string_append(prompt->section, prompt->subsection->str);
		g_string_append(prompt->section, prompt->notes->str);
		json_array_append_new(
			messages, make_message("user", prompt->section->str));
		return messages;
	}
	json_array_append_new(messages,
			      make_message("system", prompt->section->str));
	json_array_append_new(messages,
			      make_message("system", prompt->subsection->str));
	json_array_append_new(messages,
			      make_message("user", prompt->notes->str));
	return messages;
}

/** Renders messages as an engine does: role, LF, content, LF. */
static void render(json_t *messages, GString *text)
{
	json_t *item;
	size_t i;

	json_array_foreach (messages, i, item) {
		g_string_append(
			text, json_string_value(json_object_get(item, "role")));
		g_string_append_c(text, '\n');
		g_string_append(text, json_string_value(json_object_get(
					      item, "content")));
		g_string_append_c(text, '\n');
	}
}

/** Counts the leading tokens in blocks that the customer sent before. */
static void count_ideal_cached_tokens(load_workload_t *workload,
				      load_request_t *request,
				      const GString *text)
{
	const load_settings_t *settings = &workload->settings;
	size_t block_bytes = blocks_to_bytes(settings, 1);
	uint64_t key =
		hash_chain(0, &request->customer, sizeof(request->customer));
	bool leading = true;

	request->prompt_tokens =
		(text->len + settings->token_bytes - 1) / settings->token_bytes;
	for (size_t at = 0; at + block_bytes <= text->len; at += block_bytes) {
		gint64 *stored;

		key = hash_chain(key, text->str + at, block_bytes);
		stored = g_memdup2(&key, sizeof(key));
		if (!g_hash_table_add(workload->seen_blocks, stored) && leading)
			request->ideal_cached_tokens += settings->block_tokens;
		else
			leading = false;
	}
}

static bool make_model_request(load_workload_t *workload,
			       load_request_t *request)
{
	const load_settings_t *settings = &workload->settings;
	prompt_t prompt = draw_prompt(workload, request);
	json_t *messages = messages_of(settings, &prompt);
	GString *text = g_string_new(NULL);
	CLEANUP_JSON json_t *body = NULL;

	render(messages, text);
	count_ideal_cached_tokens(workload, request, text);
	body = json_pack("{s:s, s:o, s:b, s:i}", "model", settings->model,
			 "messages", messages, "stream", 1, "max_tokens",
			 (int)settings->answer_tokens);
	request->body = body ? json_dumps(body, JSON_COMPACT) : NULL;
	g_string_free(text, TRUE);
	g_string_free(prompt.section, TRUE);
	g_string_free(prompt.subsection, TRUE);
	g_string_free(prompt.notes, TRUE);
	return request->body != NULL;
}

static bool make_order_request(load_workload_t *workload,
			       load_request_t *request)
{
	CLEANUP_JSON json_t *body =
		json_pack("{s:I}", "order", (json_int_t)request->number);

	snprintf(request->idempotency_key, sizeof(request->idempotency_key),
		 "load-%u-%llu", workload->settings.seed,
		 (unsigned long long)request->number);
	request->body = body ? json_dumps(body, JSON_COMPACT) : NULL;
	return request->body != NULL;
}

/** Whether the next request contains the crash marker. */
static bool draw_crashing(load_workload_t *workload)
{
	const load_settings_t *settings = &workload->settings;

	if (!settings->crash_marker || !settings->crash_period_s ||
	    workload->arrival_ms < workload->next_crash_ms)
		return false;
	workload->next_crash_ms += settings->crash_period_s * 1000.0;
	return true;
}

bool load_workload_next(load_workload_t *workload, load_request_t *request)
{
	const load_settings_t *settings = &workload->settings;
	bool generated;

	workload->arrival_ms +=
		rng_exponential(&workload->rng, 1000.0 / settings->rate_per_s);
	if (workload->arrival_ms >= settings->duration_s * 1000.0)
		return false;
	apply_shift(workload);
	memset(request, 0, sizeof(*request));
	request->number = ++workload->number;
	request->arrival_ms = (uint64_t)workload->arrival_ms;
	request->crashing = draw_crashing(workload);
	request->kind = request->crashing ? LOAD_QUESTION : draw_kind(workload);
	request->customer = request->crashing ? 0 : draw_customer(workload);
	if (request->kind == LOAD_ORDER)
		generated = make_order_request(workload, request);
	else
		generated = make_model_request(workload, request);
	if (generated)
		request->body_bytes = strlen(request->body);
	return generated;
}
