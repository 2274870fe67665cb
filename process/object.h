/**
 * @file
 * Objects in the platform's store.
 */
#ifndef PROCESS_OBJECT_H
#define PROCESS_OBJECT_H

#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Kinds of objects that an instance reads or writes. */
typedef enum object_kind {
	OBJECT_DESIRED,	  /**< The operator's desired state: one object. */
	OBJECT_ENDPOINTS, /**< Endpoints, one object each. */
	OBJECT_WEIGHTS,	  /**< Target weights of each model. */
	OBJECT_MEMBERS,	  /**< Instances of this system. */
	OBJECT_LEASES,	  /**< Leases of this system. */
	OBJECT_CRASHES,	  /**< Crash evidence of this system. */
	OBJECT_STREAMS,	  /**< Streams and the software that began them. */
	OBJECT_KIND_COUNT,
} object_kind_t;

/** Position of an object's content in the order in which its writer wrote it.
 */
typedef struct object_order {
	uint64_t incarnation; /**< Increases with each start of the writer. */
	uint64_t sequence;
} object_order_t;

/** One object; strings and `spec` are borrowed from the page. */
typedef struct object_item {
	const char *name;
	uint64_t revision; /**< See process/store_revision.h. */
	bool deleted;
	json_t *spec;
} object_item_t;

/** Answer to a list or a watch. */
typedef struct object_page {
	json_t *root; /**< Owns the strings and contents. */
	object_item_t *items;
	size_t count;
	uint64_t revision; /**< Of the store at this answer. */
	bool more;	   /**< Of a list: more follow the last name. */
	/** Of the last object with a name, which may be left out; NULL if there
	 * is none. */
	const char *last_name;
	/** Objects that cannot be read were left out. */
	bool unreadable;
} object_page_t;

/** Name of a kind, for logs and metrics. */
const char *object_kind_name(object_kind_t kind);

/**
 * Finds the name after which a list continues behind a page.
 * @param after name after which this page began; NULL for the first page
 * @param next a copy, to be freed; NULL if this is the last page
 * @return 0, ERR_NO_MEMORY, or ERR_BAD_JSON if the page has no name that leads
 *         on
 */
int object_page_next(const object_page_t *page, const char *after, char **next);

/** Frees the contents of an answer. */
void object_page_free(object_page_t *page);

#define CLEANUP_OBJECT_PAGE __attribute__((cleanup(object_page_free)))

#endif
