/**
 * @file
 * Client of the object API over HTTP/JSON. Thread-safe.
 *
 * Every call states its purpose, is subject to the budget and is counted. It
 * is sent at most once and resolves nothing itself. Errors:
 * - ERR_STORE_DOWN: the call certainly had no effect;
 * - ERR_STORE_UNKNOWN: a write may have taken effect, now or later;
 * - ERR_STORE_CONDITION: the object has another version, or exists already;
 * - ERR_STORE_GONE: the watch history does not reach back;
 * - ERR_STORE_BUDGET: refused by the own budget or the store's rate limit;
 * - ERR_NOT_FOUND; ERR_LIMIT: value or answer too large; ERR_NO_MEMORY;
 * - ERR_BAD_FIELD: the store refuses the call as malformed;
 * - ERR_STOPPING: a watch was ended by store_client_stop().
 */
#ifndef PROCESS_STORE_CLIENT_H
#define PROCESS_STORE_CLIENT_H

#include <curl/curl.h>
#include <jansson.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "process/store_budget.h"

enum {
	/** Longest object key with its NUL, bytes. */
	STORE_KEY_MAX_BYTES = 256,
	/** Largest value the store accepts, bytes. */
	STORE_VALUE_MAX_BYTES = 1000000,
	/** Longest name in the instance list with its NUL, bytes. */
	STORE_NAME_MAX_BYTES = 64,
};

typedef struct store_client store_client_t;

typedef struct store_client_options {
	const char *url;	     /**< Without a slash at the end. */
	uint32_t connect_timeout_ms; /**< 0 for the default. */
	uint32_t total_timeout_ms;   /**< 0 for the default. */
	store_budget_options_t budget;
	uint64_t seed; /**< Of the jitter. */
} store_client_options_t;

/** An object; `value` is a reference of the holder. */
typedef struct store_object {
	uint64_t version;
	json_t *value;
} store_object_t;

typedef struct store_item {
	char key[STORE_KEY_MAX_BYTES];
	uint64_t version;
	bool deleted;  /**< Only in changes. */
	json_t *value; /**< Only in lists. */
} store_item_t;

/** Answer of list and watch. */
typedef struct store_items {
	uint64_t revision;
	store_item_t *items;
	size_t count;
	bool more; /**< Only in lists: go on after the last key. */
} store_items_t;

typedef enum store_instance_kind {
	STORE_INSTANCE_ROUTER,
	STORE_INSTANCE_ENGINE,
	STORE_INSTANCE_PLAIN,
} store_instance_kind_t;

/** One row of the instance list, which lags. */
typedef struct store_instance {
	char id[STORE_NAME_MAX_BYTES];
	store_instance_kind_t kind;
	char address[STORE_NAME_MAX_BYTES];
	uint16_t port;
	char domain[STORE_NAME_MAX_BYTES];
	bool leaving;
} store_instance_t;

/** Everything the mapping to an error depends on. */
typedef struct store_answer {
	CURLcode code;
	bool sent;	/**< Sending of the request began. */
	bool write;	/**< The call changes an object. */
	bool cancelled; /**< The transfer was ended here. */
	bool too_large; /**< The answer exceeded the client's limit. */
	long status;	/**< HTTP status, 0 without one. */
} store_answer_t;

/** Error kind of an answer; 0 for a success status. */
int store_answer_error(const store_answer_t *answer);

/**
 * Opens a client. curl_global_init() was called before.
 * @return 0 or ERR_NO_MEMORY
 */
int store_client_open(const store_client_options_t *options,
		      store_client_t **client);

/** Makes waiting and later watches return ERR_STOPPING. */
void store_client_stop(store_client_t *client);

/** Closes a client that no thread uses any more; NULL is allowed. */
void store_client_close(store_client_t *client);

/** Whether the store counts as down after consecutive failures. */
bool store_client_is_down(store_client_t *client);

/** Reads an object; drop its value after use. */
int store_client_get(store_client_t *client, store_purpose_t purpose,
		     const char *key, store_object_t *object);

/** Creates an object; ERR_STORE_CONDITION if the key exists. */
int store_client_create(store_client_t *client, store_purpose_t purpose,
			const char *key, const json_t *value,
			uint64_t *version);

/** Replaces an object that has version `expected`. */
int store_client_update(store_client_t *client, store_purpose_t purpose,
			const char *key, const json_t *value, uint64_t expected,
			uint64_t *version);

/** Deletes an object that has version `expected`. */
int store_client_delete(store_client_t *client, store_purpose_t purpose,
			const char *key, uint64_t expected);

/**
 * Lists objects in key order.
 * @param after key after which the list starts; NULL for the first page
 * @param limit most items of the page
 */
int store_client_list(store_client_t *client, store_purpose_t purpose,
		      const char *prefix, const char *after, uint32_t limit,
		      store_items_t *items);

/**
 * Waits for changes after a revision; an empty answer after the time given.
 */
int store_client_watch(store_client_t *client, store_purpose_t purpose,
		       const char *prefix, uint64_t after, uint32_t timeout_ms,
		       store_items_t *changes);

/** Reads the instance list; free() it after use. */
int store_client_instances(store_client_t *client, store_instance_t **instances,
			   size_t *count);

/** Frees what an answer holds; a zeroed one is allowed. */
void store_items_free(store_items_t *items);

#define CLEANUP_STORE_ITEMS __attribute__((cleanup(store_items_free)))

static inline void store_object_free(store_object_t *object)
{
	json_decref(object->value);
	object->value = NULL;
}

#define CLEANUP_STORE_OBJECT __attribute__((cleanup(store_object_free)))

#endif
