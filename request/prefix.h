/**
 * @file
 * Prefix keys of a prompt: block keys as the engines compute them, and keys of
 * prefix levels, which routing chooses from.
 *
 * A prefix level is a position in the rendered prompt. Levels are at message
 * boundaries and on a fixed grid of block boundaries: every block up to 16,
 * then every 2nd up to 32, every 4th up to 64, and so on. The grid depends on
 * the position alone, so prompts with a shared prefix have the same levels
 * within it, whatever follows. Nested prefixes (a document, one of its
 * sections, notes on it) thus have levels of their own even if a single message
 * contains all of them.
 */
#ifndef REQUEST_PREFIX_H
#define REQUEST_PREFIX_H

#include <stddef.h>
#include <stdint.h>

#include "process/prefix_stats.h"

enum {
	/** Maximum number of block keys; blocks after these have no key. */
	PREFIX_BLOCKS_MAX = 512,
	/** Only the first message boundaries become levels. */
	PREFIX_MESSAGE_LEVELS_MAX = 8,
	/** Maximum number of levels: message boundaries and the block grid. */
	PREFIX_LEVELS_MAX = 64,
};

/** One message; strings are not copied. */
typedef struct prefix_message {
	/** NUL-terminated; NULL for a raw prompt, which gets no line ends. */
	const char *role;
	const char *content; /**< `content_bytes` bytes, any values. */
	size_t content_bytes;
} prefix_message_t;

/** Prompts share cache entries only if all of these fields are equal. */
typedef struct prefix_identity {
	const char *salt; /**< Cache salt of the customer. */
	const char *model;
	const char *adapter;
	const char *weights_version;
	uint32_t block_tokens; /**< >= 1 */
	uint32_t token_bytes;  /**< >= 1 */
} prefix_identity_t;

/** All keys of one prompt; about 5.7 KB. */
typedef struct prefix {
	uint64_t root_key; /**< hash_chain_start() of the identity. */
	/** Key of the whole prompt including its last partial block. */
	uint64_t whole_key;
	/**
	 * Hash of salt, model and content, without adapter and weights
	 * version, so that a request that crashes engines keeps its
	 * fingerprint across a weights rollout.
	 */
	uint64_t fingerprint;
	uint32_t prompt_tokens; /**< Whole prompt, rounded up. */
	uint32_t block_tokens;
	uint32_t block_count; /**< Number of keys in `blocks`. */
	uint32_t level_count;
	uint64_t blocks[PREFIX_BLOCKS_MAX];
	/** Ascending in tokens; none is beyond the end of the prompt. */
	prefix_level_t levels[PREFIX_LEVELS_MAX];
} prefix_t;

/**
 * Computes all keys of a prompt in one pass without rendering a copy.
 * @return 0, or ERR_BAD_FIELD if `block_tokens` or `token_bytes` is 0 or the
 *         prompt has 2^32 tokens or more
 */
int prefix_compute(const prefix_identity_t *identity,
		   const prefix_message_t *messages, size_t message_count,
		   prefix_t *prefix);

#endif
