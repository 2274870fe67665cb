#include "version/ticket.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"

/** Largest ticket number: JSON parsers keep integers exact up to 2^53. */
#define NUMBER_MAX ((json_int_t)1 << 53)

/** Most shards of a snapshot. */
#define SHARDS_MAX 4096

/** Fills in the problem. @return ERR_TICKET_INVALID */
__attribute__((format(printf, 4, 5))) static int
reject(config_problem_t *problem, const char *object, const char *field,
       const char *fmt, ...)
{
	va_list args;

	snprintf(problem->object, sizeof(problem->object), "%s", object);
	snprintf(problem->field, sizeof(problem->field), "%s", field);
	va_start(args, fmt);
	vsnprintf(problem->text, sizeof(problem->text), fmt, args);
	va_end(args);
	return ERR_TICKET_INVALID;
}

/** Size as compact JSON, bytes. */
static size_t json_bytes(const json_t *value)
{
	return json_dumpb(value, NULL, 0, JSON_COMPACT | JSON_ENCODE_ANY);
}

int ticket_digest(const json_t *content, char digest[HASH_DIGEST_HEX_BYTES])
{
	CLEANUP_FREE char *text =
		json_dumps(content, JSON_COMPACT | JSON_SORT_KEYS);

	if (!text)
		return ERR_NO_MEMORY;
	hash_digest_hex(text, strlen(text), digest);
	return 0;
}

static bool is_ticket_field(const char *name)
{
	return !strcmp(name, "ticket") || !strcmp(name, "author") ||
	       !strcmp(name, "objects");
}

static int check_objects(json_t *objects, config_problem_t *problem)
{
	const char *key;
	json_t *state;

	if (!json_is_object(objects) || !json_object_size(objects) ||
	    json_object_size(objects) > TICKET_OBJECTS_MAX)
		return reject(problem, "", "objects",
			      "must be a JSON object of 1 to %d objects",
			      TICKET_OBJECTS_MAX);
	json_object_foreach (objects, key, state) {
		/* Longer keys are never valid; limits the size of `problem`. */
		if (strlen(key) >= 2 * CONFIG_ID_MAX_BYTES)
			return reject(problem, "", "objects",
				      "a key is longer than %d bytes",
				      2 * CONFIG_ID_MAX_BYTES - 1);
		if (!json_is_object(state) && !json_is_null(state))
			return reject(problem, key, "",
				      "must be the whole object as JSON, or "
				      "null to delete it");
		if (json_bytes(state) > TICKET_OBJECT_MAX_BYTES)
			return reject(problem, key, "",
				      "the object has more than %d bytes",
				      TICKET_OBJECT_MAX_BYTES);
	}
	return 0;
}

static int check_structure(json_t *content, config_problem_t *problem)
{
	const json_t *number = json_object_get(content, "ticket");
	const json_t *author = json_object_get(content, "author");
	const char *name;
	json_t *value;

	if (!json_is_object(content))
		return reject(problem, "", "", "must be a JSON object");
	json_object_foreach (content, name, value) {
		if (!is_ticket_field(name))
			return reject(problem, "", name,
				      "unknown field; must be ticket, author "
				      "or objects");
	}
	if (!json_is_integer(number) || json_integer_value(number) < 1 ||
	    json_integer_value(number) > NUMBER_MAX)
		return reject(problem, "", "ticket",
			      "must be an integer from 1 to 2^53");
	if (!json_is_string(author) || !json_string_length(author) ||
	    strlen(json_string_value(author)) >= TICKET_AUTHOR_MAX_BYTES)
		return reject(problem, "", "author",
			      "must be a string of 1 to %d bytes",
			      TICKET_AUTHOR_MAX_BYTES - 1);
	if (json_bytes(content) > TICKET_MAX_BYTES)
		return reject(problem, "", "objects",
			      "the ticket has more than %d bytes; split it",
			      TICKET_MAX_BYTES);
	return check_objects(json_object_get(content, "objects"), problem);
}

int ticket_parse(json_t *content, ticket_t *ticket, config_problem_t *problem)
{
	int err = check_structure(content, problem);

	memset(ticket, 0, sizeof(*ticket));
	if (!err)
		err = ticket_digest(content, ticket->digest);
	if (err)
		return err;
	ticket->number = (uint64_t)json_integer_value(
		json_object_get(content, "ticket"));
	snprintf(ticket->author, sizeof(ticket->author), "%s",
		 json_string_value(json_object_get(content, "author")));
	ticket->content = json_incref(content);
	ticket->objects = json_object_get(content, "objects");
	return 0;
}

void ticket_free(ticket_t *ticket)
{
	json_decref(ticket->content);
	ticket->content = NULL;
}

int ticket_state_init(ticket_state_t *state)
{
	state->position = 0;
	state->objects = json_object();
	state->numbers = json_object();
	if (state->objects && state->numbers)
		return 0;
	ticket_state_free(state);
	return ERR_NO_MEMORY;
}

void ticket_state_free(ticket_state_t *state)
{
	json_decref(state->objects);
	json_decref(state->numbers);
	state->objects = NULL;
	state->numbers = NULL;
}

int ticket_state_copy(const ticket_state_t *state, ticket_state_t *copy)
{
	copy->position = state->position;
	copy->objects = json_copy(state->objects);
	copy->numbers = json_copy(state->numbers);
	if (copy->objects && copy->numbers)
		return 0;
	ticket_state_free(copy);
	return ERR_NO_MEMORY;
}

static int set_object(ticket_state_t *state, const char *key, json_t *value,
		      json_int_t number)
{
	json_int_t known =
		json_integer_value(json_object_get(state->numbers, key));

	if (known >= number)
		return 0;
	if (json_object_set_new(state->numbers, key, json_integer(number)))
		return ERR_NO_MEMORY;
	if (json_is_null(value)) {
		json_object_del(state->objects, key);
		return 0;
	}
	return json_object_set(state->objects, key, value) ? ERR_NO_MEMORY : 0;
}

int ticket_state_apply(ticket_state_t *state, uint64_t position,
		       const json_t *content)
{
	json_t *objects = json_object_get(content, "objects");
	json_int_t number =
		json_integer_value(json_object_get(content, "ticket"));
	const char *key;
	json_t *value;

	if (position != state->position + 1 || number < 1 ||
	    !json_is_object(objects))
		return ERR_BAD_FIELD;
	json_object_foreach (objects, key, value) {
		int err = set_object(state, key, value, number);

		if (err)
			return err;
	}
	state->position = position;
	return 0;
}

json_t *ticket_state_to_json(const ticket_state_t *state)
{
	return json_pack("{s:I, s:O, s:O}", "position",
			 (json_int_t)state->position, "objects", state->objects,
			 "numbers", state->numbers);
}

static bool read_position(const json_t *object, const char *field,
			  uint64_t *position)
{
	const json_t *value = json_object_get(object, field);

	if (!json_is_integer(value) || json_integer_value(value) < 0)
		return false;
	*position = (uint64_t)json_integer_value(value);
	return true;
}

/**
 * Whether every object, also a deleted one, has a valid number. Without it an
 * older ticket could replace the object.
 */
static bool has_all_numbers(const json_t *snapshot)
{
	json_t *objects = json_object_get(snapshot, "objects");
	json_t *numbers = json_object_get(snapshot, "numbers");
	const char *key;
	json_t *value;

	json_object_foreach (numbers, key, value) {
		if (json_integer_value(value) < 1)
			return false;
	}
	json_object_foreach (objects, key, value) {
		if (!json_object_get(numbers, key))
			return false;
	}
	return json_is_object(objects) && json_is_object(numbers);
}

int ticket_state_from_json(const json_t *snapshot, ticket_state_t *state)
{
	uint64_t position;
	int err;

	if (!read_position(snapshot, "position", &position) ||
	    !has_all_numbers(snapshot))
		return ERR_BAD_FIELD;
	err = ticket_state_init(state);
	if (err)
		return err;
	err = ticket_snapshot_merge(state, snapshot);
	if (err)
		ticket_state_free(state);
	state->position = position;
	return err;
}

int ticket_snapshot_merge(ticket_state_t *state, const json_t *shard)
{
	json_t *objects = json_object_get(shard, "objects");
	json_t *numbers = json_object_get(shard, "numbers");

	if (!json_is_object(objects) || !json_is_object(numbers))
		return ERR_BAD_FIELD;
	if (json_object_update(state->objects, objects) ||
	    json_object_update(state->numbers, numbers))
		return ERR_NO_MEMORY;
	return 0;
}

int ticket_head_init(ticket_head_t *head, uint32_t page_entries)
{
	memset(head, 0, sizeof(*head));
	head->page_entries = page_entries;
	head->log = json_array();
	return head->log ? 0 : ERR_NO_MEMORY;
}

void ticket_head_free(ticket_head_t *head)
{
	json_decref(head->log);
	head->log = NULL;
}

/** Whether the entries' positions are consecutive and end at `position`. */
static bool is_log_valid(const json_t *log, uint64_t position)
{
	size_t count = json_array_size(log);
	const json_t *entry;
	uint64_t found;
	size_t i;

	if (!json_is_array(log) || count > position)
		return false;
	json_array_foreach (log, i, entry) {
		if (!read_position(entry, "position", &found) ||
		    found != position - count + 1 + i ||
		    !json_is_integer(json_object_get(entry, "ticket")) ||
		    !json_is_string(json_object_get(entry, "digest")))
			return false;
	}
	return true;
}

/** Whether whole pages lie between log_position and the head's entries. */
static bool are_pages_valid(const ticket_head_t *head, uint64_t start)
{
	return head->log_position <= head->snapshot_position &&
	       head->snapshot_position <= head->position &&
	       head->log_position <= start &&
	       head->log_position % head->page_entries == 0 &&
	       start % head->page_entries == 0;
}

int ticket_head_from_json(const json_t *value, ticket_head_t *head)
{
	json_t *log = json_object_get(value, "log");
	uint64_t shards = 0;
	uint64_t page_entries = 0;

	memset(head, 0, sizeof(*head));
	if (!read_position(value, "position", &head->position) ||
	    !read_position(value, "snapshot_position",
			   &head->snapshot_position) ||
	    !read_position(value, "snapshot_shards", &shards) ||
	    !read_position(value, "log_position", &head->log_position) ||
	    !read_position(value, "page_entries", &page_entries) ||
	    shards > SHARDS_MAX || page_entries < 1 ||
	    page_entries > TICKET_PAGE_ENTRIES_MAX ||
	    !is_log_valid(log, head->position))
		return ERR_BAD_FIELD;
	head->snapshot_shards = (uint32_t)shards;
	head->page_entries = (uint32_t)page_entries;
	if (!are_pages_valid(head, head->position - json_array_size(log)))
		return ERR_BAD_FIELD;
	head->log = json_copy(log);
	return head->log ? 0 : ERR_NO_MEMORY;
}

/** Copies `count` entries from `first`; NULL when out of memory. */
static json_t *copy_entries(const json_t *log, size_t first, size_t count)
{
	json_t *part = json_array();

	for (size_t i = first; i < first + count; i++) {
		if (json_array_append(part, json_array_get(log, i))) {
			json_decref(part);
			return NULL;
		}
	}
	return part;
}

json_t *ticket_head_to_json(const ticket_head_t *head)
{
	return json_pack(
		"{s:I, s:I, s:I, s:I, s:I, s:o}", "position",
		(json_int_t)head->position, "snapshot_position",
		(json_int_t)head->snapshot_position, "snapshot_shards",
		(json_int_t)head->snapshot_shards, "log_position",
		(json_int_t)head->log_position, "page_entries",
		(json_int_t)head->page_entries, "log",
		copy_entries(head->log, head->paged_count,
			     json_array_size(head->log) - head->paged_count));
}

int ticket_head_copy(const ticket_head_t *head, ticket_head_t *copy)
{
	*copy = *head;
	copy->log = json_copy(head->log);
	return copy->log ? 0 : ERR_NO_MEMORY;
}

const json_t *ticket_head_entry(const ticket_head_t *head, uint64_t position)
{
	size_t count = json_array_size(head->log);

	if (position > head->position || position + count <= head->position)
		return NULL;
	return json_array_get(head->log,
			      (size_t)(position + count - head->position - 1));
}

int ticket_head_append(ticket_head_t *head, const ticket_t *ticket,
		       uint64_t at_unix_ms)
{
	json_t *keys = json_array();
	json_t *entry;
	const char *key;
	json_t *value;

	json_object_foreach (ticket->objects, key, value) {
		if (json_array_append_new(keys, json_string(key)))
			break;
	}
	if (json_array_size(keys) != json_object_size(ticket->objects)) {
		json_decref(keys);
		return ERR_NO_MEMORY;
	}
	entry = json_pack("{s:I, s:I, s:s, s:s, s:I, s:o}", "position",
			  (json_int_t)head->position + 1, "ticket",
			  (json_int_t)ticket->number, "digest", ticket->digest,
			  "author", ticket->author, "at_ms",
			  (json_int_t)at_unix_ms, "keys", keys);
	if (!entry || json_array_append_new(head->log, entry))
		return ERR_NO_MEMORY;
	head->position++;
	return 0;
}

uint64_t ticket_head_base_position(const ticket_head_t *head)
{
	return head->position - json_array_size(head->log);
}

uint64_t ticket_head_page_number(const ticket_head_t *head, uint64_t position)
{
	return (position - 1) / head->page_entries;
}

/** Replaces entries by copies without keys; ERR_NO_MEMORY. */
static int drop_keys(json_t *log, size_t first, size_t count)
{
	for (size_t i = first; i < first + count; i++) {
		/* Copied heads share the entry, so do not modify it. */
		json_t *entry = json_copy(json_array_get(log, i));

		json_object_del(entry, "keys");
		if (!entry || json_array_set_new(log, i, entry))
			return ERR_NO_MEMORY;
	}
	return 0;
}

json_t *ticket_head_make_page(const ticket_head_t *head, uint64_t accepted,
			      uint64_t *number)
{
	uint64_t start = ticket_head_base_position(head) + head->paged_count;
	json_t *log;

	if (start + head->page_entries > accepted)
		return NULL;
	*number = ticket_head_page_number(head, start + 1);
	log = copy_entries(head->log, head->paged_count, head->page_entries);
	/* The object keys have no useful size limit, so pages omit them. */
	if (log && drop_keys(log, 0, head->page_entries)) {
		json_decref(log);
		return NULL;
	}
	return json_pack("{s:o}", "log", log);
}

void ticket_head_mark_page_written(ticket_head_t *head)
{
	head->paged_count += head->page_entries;
}

int ticket_head_prepend_page(ticket_head_t *head, const json_t *page)
{
	const json_t *log = json_object_get(page, "log");
	json_t *all;

	if (json_array_size(log) != head->page_entries ||
	    !is_log_valid(log, ticket_head_base_position(head)))
		return ERR_BAD_FIELD;
	all = json_copy((json_t *)log);
	if (!all || json_array_extend(all, head->log)) {
		json_decref(all);
		return ERR_NO_MEMORY;
	}
	json_decref(head->log);
	head->log = all;
	head->paged_count += head->page_entries;
	return 0;
}

int ticket_head_trim(ticket_head_t *head, uint64_t accepted, size_t max_bytes)
{
	uint64_t start = ticket_head_base_position(head) + head->paged_count;
	CLEANUP_JSON json_t *value = ticket_head_to_json(head);

	if (!value)
		return ERR_NO_MEMORY;
	if (json_bytes(value) <= max_bytes || accepted <= start)
		return 0;
	return drop_keys(head->log, head->paged_count,
			 (size_t)(accepted - start));
}

bool ticket_head_needs_compaction(const ticket_head_t *head, size_t log_max)
{
	return head->position - head->log_position > log_max;
}

void ticket_head_compact(ticket_head_t *head, uint64_t snapshot_position,
			 uint32_t shards, size_t keep)
{
	uint64_t start = ticket_head_base_position(head);
	uint64_t end = head->position > keep ? head->position - keep : 0;

	head->snapshot_position = snapshot_position;
	head->snapshot_shards = shards;
	/* Entries after the snapshot always stay. */
	if (end > snapshot_position)
		end = snapshot_position;
	end -= end % head->page_entries;
	if (end > head->log_position)
		head->log_position = end;
	if (head->log_position > start + head->paged_count)
		head->paged_count = (size_t)(head->log_position - start);
}

bool ticket_is_outdated(const ticket_state_t *state, const ticket_t *ticket)
{
	const char *key;
	json_t *value;

	json_object_foreach (ticket->objects, key, value) {
		if ((uint64_t)json_integer_value(json_object_get(
			    state->numbers, key)) >= ticket->number)
			return true;
	}
	return false;
}

const json_t *ticket_head_find(const ticket_head_t *head, uint64_t number)
{
	const json_t *entry;
	size_t i;

	json_array_foreach (head->log, i, entry) {
		if ((uint64_t)json_integer_value(
			    json_object_get(entry, "ticket")) == number)
			return entry;
	}
	return NULL;
}

/** Fills in the result for a number that the log already has. */
static void decide_repeated(const json_t *entry, const ticket_t *ticket,
			    ticket_result_t *result)
{
	const char *digest =
		json_string_value(json_object_get(entry, "digest"));

	if (strcmp(digest, ticket->digest) != 0) {
		result->err = ERR_TICKET_CONFLICT;
		reject(&result->problem, "", "ticket",
		       "ticket %" PRIu64
		       " is already stored with different content; use "
		       "a new number",
		       ticket->number);
		return;
	}
	result->err = 0;
	result->repeated = true;
	read_position(entry, "position", &result->position);
}

bool ticket_decide(const ticket_head_t *head, const ticket_state_t *state,
		   const ticket_t *ticket, ticket_result_t *result)
{
	const json_t *entry = ticket_head_find(head, ticket->number);
	const char *key;
	json_t *value;

	memset(result, 0, sizeof(*result));
	result->number = ticket->number;
	if (entry) {
		decide_repeated(entry, ticket, result);
		return false;
	}
	json_object_foreach (ticket->objects, key, value) {
		uint64_t known = (uint64_t)json_integer_value(
			json_object_get(state->numbers, key));

		if (known < ticket->number)
			continue;
		/*
		 * `ticket/<N>` fixes the content of a number, so this is a
		 * repeat.
		 */
		if (known == ticket->number) {
			*result = (ticket_result_t){ .number = known,
						     .repeated = true };
			return false;
		}
		if (result->err)
			continue;
		result->err = ERR_TICKET_STALE;
		result->highest_number = known;
		reject(&result->problem, key, "ticket",
		       "ticket %" PRIu64
		       " already changed this object; use a higher number",
		       known);
	}
	return !result->err;
}

static bool fill_shards(const ticket_state_t *state, json_t *shards)
{
	size_t count = json_array_size(shards);
	const char *key;
	json_t *number;

	json_object_foreach (state->numbers, key, number) {
		json_t *shard =
			json_array_get(shards, hash_string(key) % count);
		json_t *value = json_object_get(state->objects, key);

		if (json_object_set(json_object_get(shard, "numbers"), key,
				    number))
			return false;
		if (value && json_object_set(json_object_get(shard, "objects"),
					     key, value))
			return false;
	}
	return true;
}

static json_t *make_shards(const ticket_state_t *state, size_t count)
{
	json_t *shards = json_array();
	bool ok = shards != NULL;

	for (size_t i = 0; i < count && ok; i++)
		ok = !json_array_append_new(
			shards,
			json_pack("{s:I, s:I, s:I, s:{}, s:{}}", "position",
				  (json_int_t)state->position, "shard",
				  (json_int_t)i, "shards", (json_int_t)count,
				  "objects", "numbers"));
	if (ok && fill_shards(state, shards))
		return shards;
	json_decref(shards);
	return NULL;
}

static bool do_shards_fit(const json_t *shards, size_t max_bytes)
{
	const json_t *shard;
	size_t i;

	json_array_foreach (shards, i, shard) {
		if (json_bytes(shard) > max_bytes)
			return false;
	}
	return true;
}

json_t *ticket_snapshot_split(const ticket_state_t *state, size_t max_bytes)
{
	size_t bytes = json_bytes(state->objects) + json_bytes(state->numbers);
	size_t count = 2 * bytes / max_bytes + 1;

	for (; count <= SHARDS_MAX; count *= 2) {
		json_t *shards = make_shards(state, count);

		if (!shards)
			return NULL;
		if (do_shards_fit(shards, max_bytes))
			return shards;
		json_decref(shards);
	}
	return NULL;
}
