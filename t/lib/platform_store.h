/**
 * @file
 * Simulated object store of the platform: lists in pages, watches and
 * conditional writes, with outages that a test switches on and off. It answers
 * 400 to a request whose URL is not valid.
 */
#ifndef T_LIB_PLATFORM_STORE_H
#define T_LIB_PLATFORM_STORE_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct platform_store platform_store_t;

platform_store_t *platform_store_start(void);
void platform_store_stop(platform_store_t *store);
uint16_t platform_store_port(const platform_store_t *store);

/** Writes an object as the operator or an endpoint would; takes ownership of
 * `spec`. */
void platform_store_put(platform_store_t *store, const char *kind,
			const char *name, json_t *spec);
/** Writes an object whose whole JSON text, with the metadata, is `text`. */
void platform_store_put_text(platform_store_t *store, const char *kind,
			     const char *name, const char *text);
void platform_store_remove(platform_store_t *store, const char *kind,
			   const char *name);

/** New reference to the `spec` of an object; NULL if there is none. */
json_t *platform_store_get(platform_store_t *store, const char *kind,
			   const char *name);

/** Revision of the last change. */
uint64_t platform_store_revision(platform_store_t *store);

/** While `down` is set, answers 503 to every request and to open watches. */
void platform_store_set_down(platform_store_t *store, bool down);

/** Sets the largest number of objects in a page of a list. */
void platform_store_set_page_items(platform_store_t *store, size_t items);

/** Drops the history of changes: watches must list again. */
void platform_store_forget(platform_store_t *store);

/** Receives calls for a kind from now on without ever answering them; NULL:
 * none. Open watches are answered. */
void platform_store_ignore(platform_store_t *store, const char *kind);

/** Calls that were not answered. */
uint32_t platform_store_ignored(platform_store_t *store);

/**
 * Restores the store as it was at `revision`: later changes are lost, their
 * revisions are given out again, and a new era begins. Ends open watches.
 */
void platform_store_restore(platform_store_t *store, uint64_t revision);

/** Requests received since the start. */
uint32_t platform_store_calls(platform_store_t *store);

/** Likewise, for objects of a kind. */
uint32_t platform_store_calls_of(platform_store_t *store, const char *kind);

#endif
