/**
 * @file
 * Client of the object API over HTTP/JSON. Thread-safe.
 *
 * Every call has a purpose, is subject to the budget and is counted in the
 * metrics. A write is sent at most once; if its outcome is unknown, the caller
 * has to find out. Errors:
 * - ERR_STORE_DOWN: the call had no effect;
 * - ERR_STORE_UNKNOWN: a write may have taken effect, now or later;
 * - ERR_STORE_CONDITION: the object has another version, or exists already;
 * - ERR_STORE_GONE: the watch history starts after the requested revision;
 * - ERR_STORE_BUDGET: refused by this instance's budget or the store's rate
 *   limit;
 * - ERR_NOT_FOUND; ERR_LIMIT: value or answer too large; ERR_NO_MEMORY;
 * - ERR_BAD_FIELD: a key is invalid, or the store refused the call as
 *   malformed;
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
	const char *url;	     /**< Without a trailing slash. */
	uint32_t connect_timeout_ms; /**< 0 for the default. */
	uint32_t total_timeout_ms;   /**< 0 for the default. */
	store_budget_options_t budget;
	uint64_t seed; /**< Seed of the jitter. */
} store_client_options_t;

/** An object; release `value` with store_object_free(). */
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

/** Result of a list or watch call. */
typedef struct store_items {
	uint64_t revision;
	store_item_t *items;
	size_t count;
	bool more; /**< Only in lists: more items follow the last key. */
} store_items_t;

typedef enum store_instance_kind {
	STORE_INSTANCE_ROUTER,
	STORE_INSTANCE_ENGINE,
	STORE_INSTANCE_PLAIN,
} store_instance_kind_t;

/** Entry of the instance list, which may be out of date. */
typedef struct store_instance {
	char id[STORE_NAME_MAX_BYTES];
	store_instance_kind_t kind;
	char address[STORE_NAME_MAX_BYTES];
	uint16_t port;
	char domain[STORE_NAME_MAX_BYTES];
	bool leaving;
} store_instance_t;

/** Result of a call, from which store_answer_error() derives the error. */
typedef struct store_answer {
	CURLcode code;
	bool sent;	/**< Sending of the request began. */
	bool write;	/**< The call changes an object. */
	bool cancelled; /**< The transfer was aborted by this client. */
	bool too_large; /**< The answer exceeded the client's limit. */
	long status;	/**< HTTP status; 0 if none was received. */
} store_answer_t;

/** Error kind of a result; 0 for a success status. */
int store_answer_error(const store_answer_t *answer);

/**
 * Opens a client. Requires curl_global_init() to have been called.
 * @return 0 or ERR_NO_MEMORY
 */
int store_client_open(const store_client_options_t *options,
		      store_client_t **client);

/** Makes pending and later watches return ERR_STOPPING. */
void store_client_stop(store_client_t *client);

/** Closes a client that no thread uses any more; NULL is allowed. */
void store_client_close(store_client_t *client);

/** Whether the store counts as down after consecutive failures. */
bool store_client_is_down(store_client_t *client);

/** Reads an object; release it with store_object_free(). */
int store_client_get(store_client_t *client, store_purpose_t purpose,
		     const char *key, store_object_t *object);

/** Creates an object; ERR_STORE_CONDITION if the key exists. */
int store_client_create(store_client_t *client, store_purpose_t purpose,
			const char *key, const json_t *value,
			uint64_t *version);

/**
 * Like store_client_update(), with a time limit of its own. A call that ends
 * at this limit does not count as a failure of the store.
 * @param limit_ms 0 for the limit of the client
 */
int store_client_update_within(store_client_t *client, store_purpose_t purpose,
			       const char *key, const json_t *value,
			       uint64_t expected, uint32_t limit_ms,
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
 * @param after key after which the page starts; NULL for the first page
 * @param limit most items on the page
 */
int store_client_list(store_client_t *client, store_purpose_t purpose,
		      const char *prefix, const char *after, uint32_t limit,
		      store_items_t *items);

/**
 * Waits for changes after a revision; returns no changes after `timeout_ms`.
 */
int store_client_watch(store_client_t *client, store_purpose_t purpose,
		       const char *prefix, uint64_t after, uint32_t timeout_ms,
		       store_items_t *changes);

/** Reads the instance list; the caller frees it with free(). */
int store_client_instances(store_client_t *client, store_instance_t **instances,
			   size_t *count);

/** Frees the items of a result; zero-initialized ones are allowed. */
void store_items_free(store_items_t *items);

#define CLEANUP_STORE_ITEMS __attribute__((cleanup(store_items_free)))

static inline void store_object_free(store_object_t *object)
{
	json_decref(object->value);
	object->value = NULL;
}

#define CLEANUP_STORE_OBJECT __attribute__((cleanup(store_object_free)))

#endif
