/**
 * @file
 * Versions of a document that instances send to each other, and the pieces in
 * which they do. Pure logic: no I/O, clock or locks.
 *
 * A version is identified by the digest of its text. It is sent as a patch: the
 * text compressed with a version that the receiver has as the dictionary, so
 * that a change costs little more than its own size. A patch is sent in pieces,
 * and the receiver keeps those that it has when a transfer is interrupted. Any
 * instance that has both versions can send the rest.
 */
#ifndef PROCESS_DOCUMENT_H
#define PROCESS_DOCUMENT_H

#include <jansson.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/** Versions that can be sent or be the base of a patch: receivers may
	 * be a few changes behind. */
	DOCUMENT_VERSIONS_MAX = 4,
	/** Patches that are kept: to each receiver's version, and the whole
	 * document for those that start. */
	DOCUMENT_PATCHES_MAX = 6,
	/** Largest text, bytes; the store holds objects of 1 MB. */
	DOCUMENT_MAX_BYTES = 4 * 1024 * 1024,
	/** Largest piece, bytes: takes 26 ms on a link of 10 Mbit/s, so that
	 * urgent messages do not wait behind it. */
	DOCUMENT_PIECE_BYTES = 32 * 1024,
};

typedef struct document_version {
	uint64_t digest; /**< Of the text; never 0. */
	char *text;
	size_t len;
} document_version_t;

/** How to make the text of one version from that of another. */
typedef struct document_patch {
	uint64_t target;
	uint64_t base;	   /**< 0: from nothing. */
	size_t text_bytes; /**< Of the target. */
	char *bytes;
	size_t len;
} document_patch_t;

typedef struct document_history {
	document_version_t versions[DOCUMENT_VERSIONS_MAX]; /**< Ring. */
	uint32_t versions_added;
	document_patch_t patches[DOCUMENT_PATCHES_MAX]; /**< Ring. */
	uint32_t patches_added;
} document_history_t;

/** A patch of which a part has arrived. */
typedef struct document_transfer {
	document_patch_t patch; /**< `target` is 0 before the first piece. */
	size_t received;	/**< Bytes of the patch, from the start. */
} document_transfer_t;

void document_history_free(document_history_t *history);

/**
 * Adds a version as the newest one, unless it is that already.
 * @param text taken over, also on failure
 * @return 0, or ERR_LIMIT if it is too long
 */
int document_history_add(document_history_t *history, char *text, size_t len);

/** Digest of the newest version; 0 if there is none. */
uint64_t document_history_newest(const document_history_t *history);

/**
 * Finds or makes a patch.
 * @param target digest of the version; 0 for the newest
 * @param base digest of a version that the receiver has; one that is not in the
 *        history counts as 0
 * @return the patch, which is valid until the next call, or NULL if the target
 *         is not in the history or memory is short
 */
const document_patch_t *document_history_patch(document_history_t *history,
					       uint64_t target, uint64_t base);

/**
 * Encodes the piece of a patch that begins at `offset`.
 * @return its bytes, to be freed, or NULL if the offset is beyond the patch or
 *         memory is short
 */
char *document_piece_encode(const document_patch_t *patch, size_t offset,
			    size_t *len);

/**
 * Adds a piece as encoded by document_piece_encode().
 * @return 1 if the patch is complete, 0 if more is missing, ERR_BAD_FIELD if
 *         the piece is invalid or does not continue the transfer, ERR_LIMIT,
 *         ERR_NO_MEMORY
 */
int document_transfer_add(document_transfer_t *transfer, const char *bytes,
			  size_t len);

/**
 * Makes the text of a complete transfer, adds it to the history and clears the
 * transfer.
 * @return the new version, or NULL if the patch is invalid or its base is no
 *         longer in the history
 */
const document_version_t *
document_transfer_finish(document_transfer_t *transfer,
			 document_history_t *history);

/** Forgets what has arrived. */
void document_transfer_clear(document_transfer_t *transfer);

#endif
