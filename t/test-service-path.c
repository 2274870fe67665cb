/* Lost paths to the endpoints of a service, and the peers that reach them. */
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#include "process/forward_peers.h"
#include "process/service_path.h"

enum {
	SERVICE = 7,
	OTHER_SERVICE = 8,
	START_MS = 10000,
};

typedef enum step_kind {
	STEP_ANSWER,
	STEP_FAILURE,
	STEP_LATE,  /**< An answer is late. */
	STEP_PROBE, /**< Is a probe due? */
	STEP_ORDER, /**< The same for a request that may run once. */
	STEP_LOST,  /**< Are the paths lost? */
} step_kind_t;

typedef struct step {
	step_kind_t kind;
	uint64_t at_ms;	   /**< After START_MS. */
	uint64_t endpoint; /**< Of a failure. */
	bool result;
} step_t;

typedef struct path_case {
	const char *name;
	size_t endpoints;
	step_t steps[12];
	size_t count;
} path_case_t;

static const path_case_t path_cases[] = {
	{ "one-endpoint-fails",
	  4,
	  { { STEP_ANSWER, 0, 0, false },
	    { STEP_FAILURE, 500, 1, false },
	    { STEP_FAILURE, 600, 1, false },
	    { STEP_FAILURE, 700, 1, false },
	    { STEP_FAILURE, 800, 1, false },
	    { STEP_LOST, 800, 0, false } },
	  6 },
	{ "all-fail",
	  3,
	  { { STEP_ANSWER, 0, 0, false },
	    { STEP_FAILURE, 500, 1, false },
	    { STEP_FAILURE, 510, 2, false },
	    { STEP_FAILURE, 520, 3, true },
	    { STEP_FAILURE, 530, 1, false },
	    { STEP_LOST, 530, 0, true } },
	  6 },
	{ "some-of-many-fail",
	  90,
	  { { STEP_FAILURE, 500, 1, false },
	    { STEP_FAILURE, 510, 2, false },
	    { STEP_FAILURE, 520, 3, false },
	    { STEP_LOST, 520, 0, false },
	    { STEP_FAILURE, 530, 4, true },
	    { STEP_LOST, 530, 0, true } },
	  6 },
	{ "only-endpoint-fails",
	  1,
	  { { STEP_FAILURE, 500, 1, true }, { STEP_LOST, 500, 0, true } },
	  2 },
	{ "answer-between",
	  2,
	  { { STEP_FAILURE, 500, 1, false },
	    { STEP_ANSWER, 510, 0, false },
	    { STEP_FAILURE, 700, 2, false },
	    { STEP_LOST, 700, 0, false } },
	  4 },
	{ "answer-just-before",
	  2,
	  { { STEP_ANSWER, 500, 0, false },
	    { STEP_FAILURE, 510, 1, false },
	    { STEP_FAILURE, 520, 2, false },
	    { STEP_FAILURE, 620, 1, true } },
	  4 },
	{ "old-failure",
	  2,
	  { { STEP_FAILURE, 0, 1, false },
	    { STEP_FAILURE, SERVICE_PATH_FAILURE_TTL_MS + 1, 2, false },
	    { STEP_LOST, SERVICE_PATH_FAILURE_TTL_MS + 1, 0, false } },
	  3 },
	{ "late-answers",
	  2,
	  { { STEP_ANSWER, 0, 0, false },
	    { STEP_LATE, 1000, 1, false },
	    { STEP_LATE, 1400, 2, false },
	    { STEP_LATE, 1600, 1, true } },
	  4 },
	{ "order-as-last-probe",
	  2,
	  { { STEP_FAILURE, 500, 1, false },
	    { STEP_FAILURE, 500, 2, true },
	    { STEP_ORDER, 750, 0, false },
	    { STEP_ORDER, 1749, 0, false },
	    { STEP_ORDER, 1750, 0, true },
	    { STEP_PROBE, 1751, 0, false } },
	  6 },
	{ "probes-until-answer",
	  2,
	  { { STEP_PROBE, 400, 0, false },
	    { STEP_FAILURE, 500, 1, false },
	    { STEP_FAILURE, 500, 2, true },
	    { STEP_PROBE, 749, 0, false },
	    { STEP_PROBE, 750, 0, true },
	    { STEP_PROBE, 751, 0, false },
	    { STEP_PROBE, 1250, 0, true },
	    { STEP_PROBE, 2250, 0, true },
	    { STEP_PROBE, 3249, 0, false },
	    { STEP_PROBE, 3250, 0, true },
	    { STEP_ANSWER, 3260, 0, true },
	    { STEP_LOST, 3260, 0, false } },
	  12 },
};

static bool run_step(service_paths_t *paths, const path_case_t *path_case,
		     const step_t *step)
{
	uint64_t now_ms = START_MS + step->at_ms;

	switch (step->kind) {
	case STEP_ANSWER:
		return service_path_answered(paths, SERVICE, now_ms);
	case STEP_FAILURE:
		return service_path_failed(paths, SERVICE, step->endpoint,
					   path_case->endpoints, PATH_BROKEN,
					   now_ms);
	case STEP_LATE:
		return service_path_failed(paths, SERVICE, step->endpoint,
					   path_case->endpoints, PATH_LATE,
					   now_ms);
	case STEP_PROBE:
	case STEP_ORDER:
		return service_path_take_probe(
			paths, SERVICE, step->kind == STEP_PROBE, now_ms);
	case STEP_LOST:
		return service_path_is_lost(paths, SERVICE);
	}
	return false;
}

static void test_path(gconstpointer data)
{
	const path_case_t *path_case = data;
	service_paths_t paths = { 0 };
	uint64_t lost;

	for (size_t i = 0; i < path_case->count; i++) {
		const step_t *step = &path_case->steps[i];

		g_test_message("step %zu", i);
		g_assert_cmpint(run_step(&paths, path_case, step), ==,
				step->result);
	}
	g_assert_false(service_path_is_lost(&paths, OTHER_SERVICE));
	g_assert_cmpuint(service_path_list_lost(&paths, &lost, 1), ==,
			 service_path_is_lost(&paths, SERVICE));
}

static const forward_peer_t peers[] = {
	{ .incarnation = 1, .lost_count = 0 },
	{ .incarnation = 2, .lost_count = 1, .lost = { 5 } },
	{ .incarnation = 3, .lost_count = 2, .lost = { 6, 5 } },
	{ .incarnation = 4, .lost_count = 1, .lost = { 6 } },
	{ .incarnation = 5, .refuses_forwarded = true },
};

/* Failure: a request was forwarded to an instance that had lost the paths, too,
 * that takes none, or again to one that had refused it. */
static void test_select(void)
{
	const uint64_t service = 5ULL << 32;
	const uint64_t tried[] = { 4, 1 };
	forward_peers_t *list = calloc(1, sizeof(*list) + sizeof(peers));
	uint32_t selected[6] = { 0 };
	rng_t rng;

	rng_init(&rng, 1);
	g_assert_null(forward_peers_select(NULL, service, NULL, 0, &rng));
	list->count = G_N_ELEMENTS(peers);
	memcpy(list->items, peers, sizeof(peers));
	for (int i = 0; i < 1000; i++)
		selected[forward_peers_select(list, service, NULL, 0, &rng)
				 ->incarnation]++;
	g_assert_cmpuint(selected[1], >, 400);
	g_assert_cmpuint(selected[4], >, 400);
	g_assert_cmpuint(selected[1] + selected[4], ==, 1000);
	g_assert_cmpuint(forward_peers_select(list, service, tried, 1, &rng)
				 ->incarnation,
			 ==, 1);
	g_assert_null(forward_peers_select(list, service, tried, 2, &rng));
	free(list);
}

/* Failure: the front thread read a list that had been freed. */
static void test_slot(void)
{
	forward_slot_t slot = { 0 };
	forward_peers_t *newest = NULL;
	forward_peers_t *list = calloc(1, sizeof(*list));

	forward_slot_update(&slot, &newest);
	g_assert_null(newest);
	forward_slot_put(&slot, calloc(1, sizeof(*list)));
	forward_slot_put(&slot, list);
	forward_slot_update(&slot, &newest);
	g_assert_true(newest == list);
	forward_slot_update(&slot, &newest);
	g_assert_true(newest == list);
	free(newest);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	for (size_t i = 0; i < G_N_ELEMENTS(path_cases); i++) {
		g_autofree char *path =
			g_strdup_printf("/service-path/%s", path_cases[i].name);

		g_test_add_data_func(path, &path_cases[i], test_path);
	}
	g_test_add_func("/forward-peers/select", test_select);
	g_test_add_func("/forward-peers/slot", test_slot);
	return g_test_run();
}
