/**
 * @file
 * Reads parts of a JSON text without decoding the whole: a decoded value may
 * take many times the memory of its text. Only one piece of the text is
 * decoded at a time, and only the members that the calling code names are kept.
 */
#ifndef PROCESS_JSON_SPAN_H
#define PROCESS_JSON_SPAN_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Longest text of several values that is decoded at once, bytes. */
	JSON_PIECE_MAX_BYTES = 4096,
};

/** Text of one value, without the white space around it. */
typedef struct json_span {
	const char *text; /**< Borrowed; NULL: there is none. */
	size_t len;
} json_span_t;

/** Iterator over the members of an object or the elements of an array. */
typedef struct json_walk {
	const char *at;
	const char *end;
	char close; /**< Bracket that ends the container; 0: it has ended. */
	bool is_first;
	bool failed; /**< The text is not that of a container. */
} json_walk_t;

/** A member of an object that is to be decoded. */
typedef struct json_member {
	const char *name; /**< NULL ends a table of members. */
	/** Members to decode of each object in an array; NULL: the value is a
	 * string, a number, true or false. */
	const struct json_member *elements;
} json_member_t;

/** Whether a value is an object or an array. */
bool json_span_is_container(json_span_t span);

/** Starts at a container, which may have white space around it. */
json_walk_t json_walk_begin(json_span_t container);

/**
 * Goes to the next member or element. Its text is not checked further than to
 * find its end.
 * @param key of a member, with its quotation marks; not set in an array
 * @return false at the end, or with `failed` set
 */
bool json_walk_next(json_walk_t *walk, json_span_t *key, json_span_t *value);

/** Whether a span is the key with this name; `name` needs no escapes. */
bool json_span_is_key(json_span_t span, const char *name);

/**
 * Finds members of an object in one pass; the last one of several with the same
 * name.
 * @param names ends with NULL
 * @param values one for each name; without text where there is no such member
 * @return false if the text is not that of an object
 */
bool json_span_find_members(json_span_t object, const char *const *names,
			    json_span_t *values);

/** Decodes a whole value; NULL if it is invalid or when out of memory. */
json_t *json_span_decode(json_span_t span);

/**
 * Whether a value could be decoded and has at most `depth_max` levels of
 * objects and arrays.
 */
bool json_span_is_readable(json_span_t span, uint32_t depth_max);

/**
 * Decodes the named members of an object that is readable. Members of another
 * type are left out, and so are elements that have none of the members.
 * @return an object, or NULL when out of memory
 */
json_t *json_span_decode_members(json_span_t object,
				 const json_member_t *members);

#endif
