#include "process/limit_turns.h"

#include "process/hash.h"

/** No turn has this number and position. */
#define NOT_DRAWN UINT64_MAX

/** A higher clock is not of an instance. */
#define CLOCK_MAX_MS (1ULL << 45)

void limit_turns_init(limit_turns_t *turns, uint64_t now_ms)
{
	atomic_store(&turns->offset_ms, 0 - now_ms);
	for (int i = 0; i < LIMIT_TURNS_DRAWN; i++)
		atomic_store(&turns->drawn[i], NOT_DRAWN);
	atomic_store(&turns->instances, 1);
}

uint64_t limit_turns_clock(const limit_turns_t *turns, uint64_t now_ms)
{
	return now_ms + atomic_load(&turns->offset_ms);
}

void limit_turns_receive(limit_turns_t *turns, uint64_t clock_ms,
			 uint64_t now_ms)
{
	if (clock_ms < CLOCK_MAX_MS &&
	    clock_ms > limit_turns_clock(turns, now_ms))
		atomic_store(&turns->offset_ms, clock_ms - now_ms);
}

static void draw(limit_turns_t *turns, uint64_t number, uint64_t self,
		 const uint64_t *others, size_t count)
{
	uint64_t own = hash_rendezvous(number, self);
	uint64_t position = 0;

	for (size_t i = 0; i < count; i++)
		position += hash_rendezvous(number, others[i]) > own;
	atomic_store(&turns->drawn[number % LIMIT_TURNS_DRAWN],
		     number << LIMIT_POSITION_BITS | position);
}

void limit_turns_draw(limit_turns_t *turns, uint64_t self,
		      const uint64_t *others, size_t count, uint64_t now_ms)
{
	uint64_t number = limit_turns_clock(turns, now_ms) / LIMIT_TURN_MS;

	atomic_store(&turns->instances, (uint32_t)count + 1);
	for (uint64_t i = 0; i < LIMIT_TURNS_DRAWN; i++)
		draw(turns, number + i, self, others, count);
}

bool limit_turns_current(const limit_turns_t *turns, uint64_t now_ms,
			 limit_turn_t *turn)
{
	uint64_t clock_ms = limit_turns_clock(turns, now_ms);
	uint64_t number = clock_ms / LIMIT_TURN_MS;
	uint64_t drawn = atomic_load(&turns->drawn[number % LIMIT_TURNS_DRAWN]);

	if (drawn == NOT_DRAWN || drawn >> LIMIT_POSITION_BITS != number)
		return false;
	*turn = (limit_turn_t){
		.number = number,
		.begin_ms = now_ms - clock_ms % LIMIT_TURN_MS,
		.position =
			(uint32_t)(drawn & ((1U << LIMIT_POSITION_BITS) - 1)),
		.instances = atomic_load(&turns->instances),
	};
	return true;
}
