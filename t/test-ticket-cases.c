/* Tickets: structure, decision, pages of the log, and snapshots. */
#include <glib.h>
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "version/ticket.h"

static json_t *parse(const char *text)
{
	g_autofree char *copy = g_strdelimit(g_strdup(text), "'", '"');
	json_t *value = json_loads(copy, JSON_DECODE_ANY, NULL);

	g_assert_nonnull(value);
	return value;
}

/* A malformed ticket must be refused with the name of the wrong field. */
static void test_structure(void)
{
	static const struct {
		const char *text;
		const char *object;
		const char *field;
	} cases[] = {
		{ "[]", "", "" },
		{ "{}", "", "ticket" },
		{ "{'ticket':0}", "", "ticket" },
		{ "{'ticket':-1}", "", "ticket" },
		{ "{'ticket':1.0}", "", "ticket" },
		{ "{'ticket':9007199254740993}", "", "ticket" },
		{ "{'ticket':1}", "", "author" },
		{ "{'ticket':1,'author':''}", "", "author" },
		{ "{'ticket':1,'author':'a'}", "", "objects" },
		{ "{'ticket':1,'author':'a','objects':{}}", "", "objects" },
		{ "{'ticket':1,'author':'a','objects':{'model/m':1}}",
		  "model/m", "" },
		{ "{'ticket':1,'author':'a','objects':{'model/m':{}},'x':1}",
		  "", "x" },
	};

	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		CLEANUP_JSON json_t *content = parse(cases[i].text);
		config_problem_t problem;
		ticket_t ticket;

		g_test_message("case %zu", i);
		g_assert_cmpint(ticket_parse(content, &ticket, &problem), ==,
				ERR_TICKET_INVALID);
		g_assert_cmpstr(problem.object, ==, cases[i].object);
		g_assert_cmpstr(problem.field, ==, cases[i].field);
	}
}

static ticket_t make_ticket(const char *text)
{
	CLEANUP_JSON json_t *content = parse(text);
	config_problem_t problem;
	ticket_t ticket;

	g_assert_cmpint(ticket_parse(content, &ticket, &problem), ==, 0);
	return ticket;
}

static void accept_ticket(ticket_head_t *head, ticket_state_t *state,
			  const char *text)
{
	ticket_t ticket = make_ticket(text);

	g_assert_cmpint(ticket_head_append(head, &ticket, 1), ==, 0);
	g_assert_cmpint(
		ticket_state_apply(state, head->position, ticket.content), ==,
		0);
	ticket_free(&ticket);
}

/* The rules of acceptance; each case is decided on the same state. */
static void test_decision(void)
{
	static const struct {
		const char *text;
		bool acceptable;
		int err;
		uint64_t position;
		const char *object;
	} cases[] = {
		{ "{'ticket':8,'author':'a','objects':{'model/a':{}}}", true, 0,
		  0, "" },
		{ "{'ticket':6,'author':'a','objects':{'model/b':{}}}", true, 0,
		  0, "" },
		{ "{'ticket':6,'author':'a','objects':{'model/a':{}}}", false,
		  ERR_TICKET_STALE, 0, "model/a" },
		/* One object with a higher number refuses the whole ticket. */
		{ "{'ticket':6,'author':'a',"
		  "'objects':{'model/b':{},'model/a':{},'model/z':{}}}",
		  false, ERR_TICKET_STALE, 0, "model/a" },
		/* A deleted object keeps its number. */
		{ "{'ticket':4,'author':'a','objects':{'model/c':{}}}", false,
		  ERR_TICKET_STALE, 0, "model/c" },
		{ "{'author':'a','objects':{'model/a':{}},'ticket':7}", false,
		  0, 2, "" },
		{ "{'ticket':7,'author':'b','objects':{'model/a':{}}}", false,
		  ERR_TICKET_CONFLICT, 0, "" },
	};
	ticket_state_t state;
	ticket_head_t head;

	g_assert_cmpint(ticket_state_init(&state), ==, 0);
	g_assert_cmpint(ticket_head_init(&head, 2), ==, 0);
	accept_ticket(&head, &state,
		      "{'ticket':5,'author':'a',"
		      "'objects':{'model/b':{},'model/c':null}}");
	accept_ticket(&head, &state,
		      "{'ticket':7,'author':'a','objects':{'model/a':{}}}");
	for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
		ticket_t ticket = make_ticket(cases[i].text);
		ticket_result_t result;

		g_test_message("case %zu", i);
		g_assert_cmpint(ticket_decide(&head, &state, &ticket, &result),
				==, cases[i].acceptable);
		g_assert_cmpint(result.err, ==, cases[i].err);
		g_assert_cmpuint(result.position, ==, cases[i].position);
		if (result.err)
			g_assert_cmpstr(result.problem.object, ==,
					cases[i].object);
		ticket_free(&ticket);
	}
	ticket_state_free(&state);
	ticket_head_free(&head);
}

/*
 * The store refuses values above its limit: with a shard that is too large, no
 * later change could be committed.
 */
static void test_snapshot_shards(void)
{
	ticket_state_t state;
	ticket_state_t loaded;
	json_t *shards;
	json_t *shard;
	size_t i;

	g_assert_cmpint(ticket_state_init(&state), ==, 0);
	g_assert_cmpint(ticket_state_init(&loaded), ==, 0);
	for (int n = 0; n < 3000; n++) {
		g_autofree char *key = g_strdup_printf("endpoint/e%d", n);
		g_autofree char *text = g_strnfill((gsize)n % 900, 'x');

		json_object_set_new(state.numbers, key, json_integer(n + 1));
		if (n % 7)
			json_object_set_new(state.objects, key,
					    json_pack("{s:s}", "t", text));
	}
	shards = ticket_snapshot_split(&state, 100000);
	g_assert_cmpuint(json_array_size(shards), >, 10);
	json_array_foreach (shards, i, shard) {
		g_assert_cmpuint(json_dumpb(shard, NULL, 0, JSON_COMPACT), <=,
				 100000);
		g_assert_cmpint(ticket_snapshot_merge(&loaded, shard), ==, 0);
	}
	g_assert_true(json_equal(state.objects, loaded.objects));
	g_assert_true(json_equal(state.numbers, loaded.numbers));
	json_decref(shards);
	ticket_state_free(&state);
	ticket_state_free(&loaded);
}

/** Makes all full pages, as a commit does; returns their number. */
static size_t make_pages(ticket_head_t *head, uint64_t accepted,
			 json_t *pages[4])
{
	uint64_t number = 0;
	size_t count = 0;

	while ((pages[count] =
			ticket_head_make_page(head, accepted, &number))) {
		g_assert_cmpuint(number, ==, count++);
		ticket_head_mark_page_written(head);
	}
	return count;
}

/*
 * An entry that is not accepted yet must not be in a page, and only the page
 * that precedes the log may be prepended to it.
 */
static void test_pages(void)
{
	json_t *pages[4];
	CLEANUP_JSON json_t *value = NULL;
	ticket_head_t head;
	ticket_head_t read;
	ticket_state_t state;

	g_assert_cmpint(ticket_state_init(&state), ==, 0);
	g_assert_cmpint(ticket_head_init(&head, 2), ==, 0);
	for (int i = 1; i <= 6; i++) {
		g_autofree char *text = g_strdup_printf(
			"{'ticket':%d,'author':'a','objects':{'model/a':{}}}",
			i + 10);

		accept_ticket(&head, &state, text);
	}
	g_assert_cmpuint(make_pages(&head, 5, pages), ==, 2);
	value = ticket_head_to_json(&head);
	g_assert_cmpint(ticket_head_from_json(value, &read), ==, 0);
	g_assert_cmpuint(ticket_head_base_position(&read), ==, 4);
	g_assert_cmpint(ticket_head_prepend_page(&read, pages[0]), ==,
			ERR_BAD_FIELD);
	g_assert_cmpint(ticket_head_prepend_page(&read, pages[1]), ==, 0);
	g_assert_null(ticket_head_find(&read, 11));
	g_assert_cmpint(ticket_head_prepend_page(&read, pages[0]), ==, 0);
	g_assert_nonnull(ticket_head_find(&read, 11));
	/* Trimming removes the keys of accepted entry 5, not of new entry 6. */
	g_assert_cmpint(ticket_head_trim(&read, 5, 10), ==, 0);
	g_assert_null(json_object_get(ticket_head_entry(&read, 5), "keys"));
	g_assert_nonnull(json_object_get(ticket_head_entry(&read, 6), "keys"));
	g_assert_nonnull(json_object_get(ticket_head_entry(&head, 5), "keys"));
	json_decref(pages[0]);
	json_decref(pages[1]);
	ticket_head_free(&read);
	ticket_head_free(&head);
	ticket_state_free(&state);
}

int main(int argc, char **argv)
{
	g_test_init(&argc, &argv, NULL);
	g_test_add_func("/ticket/structure", test_structure);
	g_test_add_func("/ticket/decision", test_decision);
	g_test_add_func("/ticket/pages", test_pages);
	g_test_add_func("/ticket/snapshot", test_snapshot_shards);
	return g_test_run();
}
