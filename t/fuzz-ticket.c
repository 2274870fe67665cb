/*
 * Fuzzes the parsers of tickets and of the configuration objects in them.
 * Guards against a ticket or configuration that parses differently after it was
 * stored and loaded.
 */
#include <string.h>

#include "process/cleanup.h"
#include "process/error.h"
#include "t/lib/fuzz.h"
#include "version/ticket.h"

static json_t *reload(const json_t *value)
{
	CLEANUP_FREE char *text = json_dumps(value, JSON_COMPACT);
	json_t *loaded;

	FUZZ_CHECK(text);
	loaded = json_loads(text, JSON_REJECT_DUPLICATES, NULL);
	FUZZ_CHECK(loaded);
	return loaded;
}

static void check_indices(const config_t *config)
{
	size_t linked = 0;

	for (size_t i = 0; i < config->endpoint_count; i++) {
		const config_endpoint_t *endpoint = &config->endpoints[i];

		FUZZ_CHECK(endpoint->pool >= 0 &&
			   (size_t)endpoint->pool < config->pool_count);
		FUZZ_CHECK(config_find_endpoint(config, endpoint->id) ==
			   (int32_t)i);
	}
	for (size_t i = 0; i < config->pool_count; i++)
		linked += config->pools[i].endpoint_count;
	FUZZ_CHECK(linked == config->endpoint_count);
	for (size_t i = 0; i < config->customer_count; i++)
		config_urgency(config, &config->customers[i], "chat", 0);
}

static void check_config(json_t *objects, bool reloaded)
{
	CLEANUP_JSON json_t *loaded = NULL;
	CLEANUP_CONFIG config_t *config = NULL;
	config_problem_t problem = { 0 };

	if (config_build(1, objects, &config, &problem)) {
		FUZZ_CHECK(!reloaded);
		FUZZ_CHECK(!config && *problem.text);
		return;
	}
	check_indices(config);
	if (reloaded)
		return;
	loaded = reload(objects);
	check_config(loaded, true);
}

static void check_ticket(json_t *content, const char *expected_digest)
{
	CLEANUP_JSON json_t *loaded = NULL;
	ticket_state_t state;
	ticket_t ticket;
	config_problem_t problem = { 0 };
	char first_digest[HASH_DIGEST_HEX_BYTES];

	if (ticket_parse(content, &ticket, &problem)) {
		FUZZ_CHECK(!expected_digest);
		FUZZ_CHECK(!ticket.content && *problem.text);
		return;
	}
	FUZZ_CHECK(ticket.number && *ticket.author);
	memcpy(first_digest, ticket.digest, sizeof(first_digest));
	if (expected_digest) {
		FUZZ_CHECK(!strcmp(expected_digest, ticket.digest));
	} else {
		FUZZ_CHECK(!ticket_state_init(&state));
		FUZZ_CHECK(!ticket_state_apply(&state, 1, content));
		check_config(state.objects, false);
		ticket_state_free(&state);
		loaded = reload(content);
		check_ticket(loaded, first_digest);
	}
	ticket_free(&ticket);
}

int LLVMFuzzerInitialize(int *argc, char ***argv)
{
	(void)argc;
	(void)argv;
	/* Jansson's hash seed is random by default, so runs would differ. */
	json_object_seed(1);
	return 0;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	CLEANUP_JSON json_t *content = json_loadb((const char *)data, size,
						  JSON_REJECT_DUPLICATES, NULL);

	if (content)
		check_ticket(content, NULL);
	return 0;
}
