#include "request/prefix.h"

#include <stdbool.h>
#include <string.h>
#define XXH_STATIC_LINKING_ONLY /* state type on the stack */
#include <xxhash.h>

#include "process/error.h"
#include "process/hash.h"

enum {
	/** Every block up to this one is a level. */
	GRID_DENSE_BLOCKS = 16,
	/** Then this many levels for each doubling of the position. */
	GRID_LEVELS_PER_DOUBLING = 8,
};

/** State of the pass over the rendered prompt. */
typedef struct walk {
	XXH3_state_t block;   /**< Bytes of the block in progress. */
	XXH3_state_t content; /**< All bytes, for the fingerprint. */
	prefix_t *prefix;
	uint64_t block_key; /**< Key of the last full block. */
	uint64_t block_bytes;
	uint64_t in_block; /**< Bytes in the block in progress. */
	uint64_t blocks;   /**< Full blocks so far, with and without key. */
	uint32_t token_bytes;
	uint32_t message_levels;
} walk_t;

static uint64_t walk_bytes(const walk_t *walk)
{
	return walk->blocks * walk->block_bytes + walk->in_block;
}

static uint64_t walk_tokens(const walk_t *walk)
{
	return (walk_bytes(walk) + walk->token_bytes - 1) / walk->token_bytes;
}

/** Key of everything before the current position. */
static uint64_t walk_key(const walk_t *walk)
{
	if (!walk->in_block)
		return walk->block_key;
	return XXH3_64bits_digest(&walk->block);
}

static bool is_on_grid(uint64_t block)
{
	uint64_t step = 1;

	if (block > PREFIX_BLOCKS_MAX)
		return false;
	while (block > step * GRID_DENSE_BLOCKS)
		step *= 2;
	return block % step == 0;
}

/** Adds the current position as a level, once. */
static void add_level(walk_t *walk)
{
	prefix_t *prefix = walk->prefix;
	uint64_t key = walk_key(walk);
	prefix_level_t *level = &prefix->levels[prefix->level_count];

	if (prefix->level_count && level[-1].key == key)
		return;
	if (prefix->level_count == PREFIX_LEVELS_MAX)
		return;
	level->key = key;
	level->tokens = (uint32_t)walk_tokens(walk);
	level->full_tokens = (uint32_t)walk->blocks * prefix->block_tokens;
	level->block_key = walk->in_block ? walk->block_key : 0;
	prefix->level_count++;
}

static void end_block(walk_t *walk)
{
	prefix_t *prefix = walk->prefix;

	walk->block_key = XXH3_64bits_digest(&walk->block);
	XXH3_64bits_reset_withSeed(&walk->block, walk->block_key);
	walk->in_block = 0;
	walk->blocks++;
	if (prefix->block_count < PREFIX_BLOCKS_MAX)
		prefix->blocks[prefix->block_count++] = walk->block_key;
	if (is_on_grid(walk->blocks))
		add_level(walk);
}

static void feed(walk_t *walk, const char *data, size_t len)
{
	XXH3_64bits_update(&walk->content, data, len);
	while (len) {
		uint64_t room = walk->block_bytes - walk->in_block;
		size_t part = len < room ? len : (size_t)room;

		XXH3_64bits_update(&walk->block, data, part);
		walk->in_block += part;
		data += part;
		len -= part;
		if (walk->in_block == walk->block_bytes)
			end_block(walk);
	}
}

static void feed_message(walk_t *walk, const prefix_message_t *message)
{
	if (message->role) {
		feed(walk, message->role, strlen(message->role));
		feed(walk, "\n", 1);
	}
	feed(walk, message->content, message->content_bytes);
	if (message->role)
		feed(walk, "\n", 1);
	if (walk->message_levels == PREFIX_MESSAGE_LEVELS_MAX)
		return;
	walk->message_levels++;
	if (walk->blocks < PREFIX_BLOCKS_MAX)
		add_level(walk);
}

int prefix_compute(const prefix_identity_t *identity,
		   const prefix_message_t *messages, size_t message_count,
		   prefix_t *prefix)
{
	walk_t walk = { 0 };

	if (!identity->block_tokens || !identity->token_bytes)
		return ERR_BAD_FIELD;
	memset(prefix, 0, sizeof(*prefix));
	prefix->block_tokens = identity->block_tokens;
	prefix->root_key =
		hash_chain_start(identity->salt, identity->model,
				 identity->adapter, identity->weights_version);
	walk.prefix = prefix;
	walk.token_bytes = identity->token_bytes;
	walk.block_bytes =
		(uint64_t)identity->block_tokens * identity->token_bytes;
	walk.block_key = prefix->root_key;
	XXH3_64bits_reset_withSeed(&walk.block, prefix->root_key);
	XXH3_64bits_reset_withSeed(
		&walk.content,
		hash_chain_start(identity->salt, identity->model, "", ""));
	for (size_t i = 0; i < message_count; i++)
		feed_message(&walk, &messages[i]);
	if (walk_tokens(&walk) > UINT32_MAX)
		return ERR_BAD_FIELD;
	prefix->prompt_tokens = (uint32_t)walk_tokens(&walk);
	prefix->whole_key = walk_key(&walk);
	prefix->fingerprint = XXH3_64bits_digest(&walk.content);
	return 0;
}
