#include "process/json_span.h"

#include <string.h>

#include "process/cleanup.h"

static bool is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

static bool opens(char c)
{
	return c == '{' || c == '[';
}

static bool closes(char c)
{
	return c == '}' || c == ']';
}

static const char *skip_space(const char *at, const char *end)
{
	while (at < end && is_space(*at))
		at++;
	return at;
}

/* Returns where a string ends; NULL if the text ends before. */
static const char *skip_string(const char *at, const char *end)
{
	for (at++; at < end; at++) {
		if (*at == '"')
			return at + 1;
		if (*at == '\\' && ++at == end)
			return NULL;
	}
	return NULL;
}

static const char *skip_container(const char *at, const char *end)
{
	size_t depth = 0;

	while (at && at < end) {
		if (*at == '"') {
			at = skip_string(at, end);
			continue;
		}
		depth += opens(*at);
		depth -= closes(*at);
		at++;
		if (!depth)
			return at;
	}
	return NULL;
}

static const char *skip_scalar(const char *at, const char *end)
{
	const char *begin = at;

	while (at < end && !is_space(*at) && !closes(*at) && *at != ',')
		at++;
	return at > begin ? at : NULL;
}

/* Returns where a value ends; NULL if there is none, or the text ends before.
 */
static const char *skip_value(const char *at, const char *end)
{
	if (at == end)
		return NULL;
	if (*at == '"')
		return skip_string(at, end);
	return opens(*at) ? skip_container(at, end) : skip_scalar(at, end);
}

bool json_span_is_container(json_span_t span)
{
	return span.len && opens(*span.text);
}

json_walk_t json_walk_begin(json_span_t container)
{
	json_walk_t walk = { .is_first = true, .failed = true };

	if (!container.text)
		return walk;
	walk.end = container.text + container.len;
	walk.at = skip_space(container.text, walk.end);
	if (walk.at == walk.end || !opens(*walk.at))
		return walk;
	walk.close = *walk.at++ == '{' ? '}' : ']';
	walk.failed = false;
	return walk;
}

static bool end_walk(json_walk_t *walk, bool failed)
{
	walk->close = 0;
	walk->failed = failed;
	return false;
}

static bool read_value(json_walk_t *walk, json_span_t *value)
{
	const char *begin = skip_space(walk->at, walk->end);
	const char *end = skip_value(begin, walk->end);

	if (!end)
		return end_walk(walk, true);
	*value = (json_span_t){ begin, (size_t)(end - begin) };
	walk->at = skip_space(end, walk->end);
	return true;
}

bool json_walk_next(json_walk_t *walk, json_span_t *key, json_span_t *value)
{
	if (!walk->close)
		return false;
	walk->at = skip_space(walk->at, walk->end);
	if (walk->at == walk->end)
		return end_walk(walk, true);
	if (*walk->at == walk->close)
		return end_walk(walk, skip_space(walk->at + 1, walk->end) !=
					      walk->end);
	if (!walk->is_first && *walk->at++ != ',')
		return end_walk(walk, true);
	walk->is_first = false;
	if (walk->close == '}') {
		if (!read_value(walk, key))
			return false;
		if (walk->at == walk->end || *walk->at++ != ':')
			return end_walk(walk, true);
	}
	return read_value(walk, value);
}

json_t *json_span_decode(json_span_t span)
{
	return json_loadb(span.text, span.len, JSON_DECODE_ANY, NULL);
}

bool json_span_is_key(json_span_t span, const char *name)
{
	CLEANUP_JSON json_t *key = NULL;

	if (span.len == strlen(name) + 2 &&
	    !memcmp(span.text + 1, name, span.len - 2))
		return true;
	if (!memchr(span.text, '\\', span.len))
		return false;
	key = json_span_decode(span);
	return json_is_string(key) && !strcmp(json_string_value(key), name);
}

bool json_span_find_members(json_span_t object, const char *const *names,
			    json_span_t *values)
{
	json_walk_t walk = json_walk_begin(object);
	json_span_t key;
	json_span_t value;

	for (size_t i = 0; names[i]; i++)
		values[i] = (json_span_t){ 0 };
	if (walk.close != '}')
		return false;
	while (json_walk_next(&walk, &key, &value)) {
		for (size_t i = 0; names[i]; i++) {
			if (json_span_is_key(key, names[i]))
				values[i] = value;
		}
	}
	return !walk.failed;
}

static bool is_deeper(const json_t *value, uint32_t levels)
{
	const char *key;
	json_t *item;
	size_t index;

	if (!json_is_array(value) && !json_is_object(value))
		return false;
	if (!levels)
		return true;
	json_array_foreach (value, index, item) {
		if (is_deeper(item, levels - 1))
			return true;
	}
	json_object_foreach ((json_t *)value, key, item) {
		if (is_deeper(item, levels - 1))
			return true;
	}
	return false;
}

static bool is_decodable(json_span_t span, uint32_t depth_max)
{
	CLEANUP_JSON json_t *value = json_span_decode(span);

	return value && !is_deeper(value, depth_max);
}

/* Successive members or elements that are decoded at once. */
typedef struct json_run {
	const char *begin; /**< NULL: it is empty. */
	const char *end;
	bool of_object;
	uint32_t depth_max; /**< Of the container. */
} json_run_t;

/* Whether the values of a run are readable; the run is empty afterwards. */
static bool check_run(json_run_t *run)
{
	char text[JSON_PIECE_MAX_BYTES + 2];
	size_t len = (size_t)(run->end - run->begin);

	if (!run->begin)
		return true;
	text[0] = run->of_object ? '{' : '[';
	memcpy(text + 1, run->begin, len);
	text[len + 1] = run->of_object ? '}' : ']';
	run->begin = NULL;
	return is_decodable((json_span_t){ text, len + 2 }, run->depth_max);
}

/* Adds a value to the run, or checks it by itself if it is too long. */
static bool check_value(json_run_t *run, const char *begin, json_span_t key,
			json_span_t value)
{
	const char *end = value.text + value.len;

	if (run->begin && end - run->begin > JSON_PIECE_MAX_BYTES &&
	    !check_run(run))
		return false;
	if (end - begin > JSON_PIECE_MAX_BYTES)
		return (!run->of_object || is_decodable(key, 0)) &&
		       json_span_is_readable(value, run->depth_max - 1);
	if (!run->begin)
		run->begin = begin;
	run->end = end;
	return true;
}

bool json_span_is_readable(json_span_t span, uint32_t depth_max)
{
	json_walk_t walk;
	json_run_t run = { .depth_max = depth_max };
	json_span_t key = { 0 };
	json_span_t value;

	if (span.len <= JSON_PIECE_MAX_BYTES || !json_span_is_container(span))
		return is_decodable(span, depth_max);
	if (!depth_max)
		return false;
	walk = json_walk_begin(span);
	run.of_object = walk.close == '}';
	while (json_walk_next(&walk, &key, &value)) {
		if (!check_value(&run, key.text ? key.text : value.text, key,
				 value))
			return false;
	}
	return !walk.failed && check_run(&run);
}

static const json_member_t *find_member(const json_member_t *members,
					json_span_t key)
{
	while (members->name && !json_span_is_key(key, members->name))
		members++;
	return members->name ? members : NULL;
}

/* Appends the objects of an array. */
static json_t *decode_elements(json_span_t array, const json_member_t *members)
{
	json_walk_t walk = json_walk_begin(array);
	json_t *list = json_array();
	json_span_t key;
	json_span_t value;

	while (json_walk_next(&walk, &key, &value)) {
		json_t *object =
			*value.text == '{'
				? json_span_decode_members(value, members)
				: NULL;

		if (json_object_size(object))
			json_array_append_new(list, object);
		else
			json_decref(object);
	}
	return list;
}

static json_t *decode_member(json_span_t value, const json_member_t *member)
{
	if (member->elements)
		return *value.text == '['
			       ? decode_elements(value, member->elements)
			       : NULL;
	return json_span_is_container(value) ? NULL : json_span_decode(value);
}

json_t *json_span_decode_members(json_span_t object,
				 const json_member_t *members)
{
	json_walk_t walk = json_walk_begin(object);
	json_t *decoded = json_object();
	json_span_t key;
	json_span_t value;

	while (decoded && walk.close == '}' &&
	       json_walk_next(&walk, &key, &value)) {
		const json_member_t *member = find_member(members, key);
		json_t *content = member ? decode_member(value, member) : NULL;

		/* The last one of several with the same name counts. */
		if (content)
			json_object_set_new(decoded, member->name, content);
		else if (member)
			json_object_del(decoded, member->name);
	}
	return decoded;
}
