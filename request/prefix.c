#include "request/prefix.h"

#include <stdbool.h>
#include <string.h>
#define XXH_STATIC_LINKING_ONLY /* state type on the stack */
#include <xxhash.h>

#include "process/error.h"
#include "process/hash.h"

enum {
	/** Every block up to this one ends at a level. */
	GRID_DENSE_BLOCKS = 16,
	/** Number of levels each time the position doubles after that. */
	GRID_LEVELS_PER_DOUBLING = 8,
};

/** Hash state while the rendered prompt is processed. */
typedef struct prompt_hasher {
	XXH3_state_t block;   /**< Hash of the block in progress. */
	XXH3_state_t content; /**< Hash of all bytes, for the fingerprint. */
	prefix_t *prefix;
	uint64_t block_key;	      /**< Key of the last full block. */
	uint64_t block_bytes;	      /**< Size of a block. */
	uint64_t partial_block_bytes; /**< Bytes in the block in progress. */
	uint64_t blocks; /**< Full blocks, including those without a key. */
	uint32_t token_bytes;
	uint32_t message_levels; /**< Message boundaries used as levels. */
} prompt_hasher_t;

static uint64_t hashed_bytes(const prompt_hasher_t *hasher)
{
	return hasher->blocks * hasher->block_bytes +
	       hasher->partial_block_bytes;
}

static uint64_t hashed_tokens(const prompt_hasher_t *hasher)
{
	return (hashed_bytes(hasher) + hasher->token_bytes - 1) /
	       hasher->token_bytes;
}

/** Key of the prompt up to the current position. */
static uint64_t current_key(const prompt_hasher_t *hasher)
{
	if (!hasher->partial_block_bytes)
		return hasher->block_key;
	return XXH3_64bits_digest(&hasher->block);
}

/** Whether the end of a block, counted from 1, is a level of the grid. */
static bool is_on_grid(uint64_t block)
{
	uint64_t step = 1;

	if (block > PREFIX_BLOCKS_MAX)
		return false;
	while (block > step * GRID_DENSE_BLOCKS)
		step *= 2;
	return block % step == 0;
}

/** Adds the current position as a level unless it was added already. */
static void add_level(prompt_hasher_t *hasher)
{
	prefix_t *prefix = hasher->prefix;
	uint64_t key = current_key(hasher);
	prefix_level_t *level = &prefix->levels[prefix->level_count];

	if (prefix->level_count && level[-1].key == key)
		return;
	if (prefix->level_count == PREFIX_LEVELS_MAX)
		return;
	level->key = key;
	level->tokens = (uint32_t)hashed_tokens(hasher);
	level->full_tokens = (uint32_t)hasher->blocks * prefix->block_tokens;
	level->block_key = hasher->partial_block_bytes ? hasher->block_key : 0;
	prefix->level_count++;
}

static void end_block(prompt_hasher_t *hasher)
{
	prefix_t *prefix = hasher->prefix;

	hasher->block_key = XXH3_64bits_digest(&hasher->block);
	XXH3_64bits_reset_withSeed(&hasher->block, hasher->block_key);
	hasher->partial_block_bytes = 0;
	hasher->blocks++;
	if (prefix->block_count < PREFIX_BLOCKS_MAX)
		prefix->blocks[prefix->block_count++] = hasher->block_key;
	if (is_on_grid(hasher->blocks))
		add_level(hasher);
}

static void hash_bytes(prompt_hasher_t *hasher, const char *data, size_t len)
{
	XXH3_64bits_update(&hasher->content, data, len);
	while (len) {
		uint64_t remaining =
			hasher->block_bytes - hasher->partial_block_bytes;
		size_t part = len < remaining ? len : (size_t)remaining;

		XXH3_64bits_update(&hasher->block, data, part);
		hasher->partial_block_bytes += part;
		data += part;
		len -= part;
		if (hasher->partial_block_bytes == hasher->block_bytes)
			end_block(hasher);
	}
}

static void hash_message(prompt_hasher_t *hasher,
			 const prefix_message_t *message)
{
	if (message->role) {
		hash_bytes(hasher, message->role, strlen(message->role));
		hash_bytes(hasher, "\n", 1);
	}
	hash_bytes(hasher, message->content, message->content_bytes);
	if (message->role)
		hash_bytes(hasher, "\n", 1);
	if (hasher->message_levels == PREFIX_MESSAGE_LEVELS_MAX)
		return;
	hasher->message_levels++;
	if (hasher->blocks < PREFIX_BLOCKS_MAX)
		add_level(hasher);
}

int prefix_compute(const prefix_identity_t *identity,
		   const prefix_message_t *messages, size_t message_count,
		   prefix_t *prefix)
{
	prompt_hasher_t hasher = { 0 };

	if (!identity->block_tokens || !identity->token_bytes)
		return ERR_BAD_FIELD;
	memset(prefix, 0, sizeof(*prefix));
	prefix->block_tokens = identity->block_tokens;
	prefix->root_key =
		hash_chain_start(identity->salt, identity->model,
				 identity->adapter, identity->weights_version);
	hasher.prefix = prefix;
	hasher.token_bytes = identity->token_bytes;
	hasher.block_bytes =
		(uint64_t)identity->block_tokens * identity->token_bytes;
	hasher.block_key = prefix->root_key;
	XXH3_64bits_reset_withSeed(&hasher.block, prefix->root_key);
	XXH3_64bits_reset_withSeed(
		&hasher.content,
		hash_chain_start(identity->salt, identity->model, "", ""));
	for (size_t i = 0; i < message_count; i++)
		hash_message(&hasher, &messages[i]);
	if (hashed_tokens(&hasher) > UINT32_MAX)
		return ERR_BAD_FIELD;
	prefix->prompt_tokens = (uint32_t)hashed_tokens(&hasher);
	prefix->whole_key = current_key(&hasher);
	prefix->fingerprint = XXH3_64bits_digest(&hasher.content);
	return 0;
}
