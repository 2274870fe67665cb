/* Registration as a member, and the addresses that heartbeats are sent to. */
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>

#include "cmd/gateway_peers.h"
#include "platform/platform_desired.h"
#include "platform/platform_objects.h"
#include "process/cleanup.h"
#include "process/error.h"
#include "process/store_revision.h"

enum {
	/** Interval between two attempts to register, ms. */
	REGISTER_RETRY_MS = 1000,
};

static void on_register_answer(void *context, const store_answer_t *answer)
{
	gateway_peers_t *peers = context;
	int result = answer->err;

	peers->register_call = NULL;
	if (!result) {
		peers->registered = true;
		peers->object_exists = true;
		peers->registered_revision =
			store_revision_make(answer->era, 0);
	} else if (result == ERR_STORE_CONDITION) {
		peers->object_exists = true;
	} else if (result == ERR_NOT_FOUND) {
		peers->object_exists = false;
	}
	if (result == ERR_STORE_CONDITION || result == ERR_NOT_FOUND)
		peers->register_after_ms = 0;
}

/* A revision of the newest era of the store that this instance, or a peer whose
 * state it fetched, has seen. */
static uint64_t newest_revision(const gateway_control_t *control)
{
	uint64_t revision = store_revision_make(control->store.era, 0);

	for (int i = 0; i < OBJECT_KIND_COUNT; i++) {
		const object_table_t *table = &control->view_builder.tables[i];

		if (table->revision > revision)
			revision = table->revision;
	}
	return revision;
}

void gateway_members_check_era(gateway_peers_t *peers, uint64_t now_ms)
{
	if (!peers->registered ||
	    store_revision_era(newest_revision(peers->control)) <=
		    store_revision_era(peers->registered_revision))
		return;
	peers->registered = false;
	peers->register_after_ms =
		now_ms + rng_below(&peers->control->rng, REGISTER_RETRY_MS);
}

bool gateway_members_registered(const gateway_peers_t *peers)
{
	return peers->registered;
}

void gateway_members_register(gateway_peers_t *peers, uint64_t now_ms)
{
	gateway_control_t *control = peers->control;
	const gateway_settings_t *settings = &control->gateway->settings;
	struct evbuffer *message = evbuffer_new();
	char address[64];
	CLEANUP_JSON json_t *spec = NULL;
	int err;

	snprintf(address, sizeof(address), "%s:%u", settings->peer_ip,
		 settings->peer_port);
	spec = json_pack("{s:s,s:s,s:I}", "address", address, "domain",
			 settings->domain, "incarnation",
			 (json_int_t)control->gateway->incarnation);
	peers->register_after_ms = now_ms + REGISTER_RETRY_MS;
	if (peers->object_exists)
		err = platform_write_replace(message, OBJECT_MEMBERS,
					     settings->name, 0, spec);
	else
		err = platform_write_create(message, OBJECT_MEMBERS,
					    settings->name, spec);
	if (!err)
		peers->register_call = gateway_control_store_call(
			control, message, on_register_answer, peers);
	evbuffer_free(message);
}

static void add_target_address(gateway_peers_t *peers,
			       const struct sockaddr_in *address)
{
	if (peers->target_count == PEERS_MAX)
		return;
	for (size_t i = 0; i < peers->target_count; i++) {
		if (peers->targets[i].sin_addr.s_addr ==
		    address->sin_addr.s_addr)
			return;
	}
	peers->targets[peers->target_count++] = *address;
}

static void add_target_text(gateway_peers_t *peers, const char *text)
{
	const gateway_settings_t *settings = &peers->control->gateway->settings;
	struct sockaddr_in address;
	char host[INET_ADDRSTRLEN];

	if (platform_read_address(text, &address))
		return;
	/* All instances use the same peer port. */
	address.sin_port = htons((uint16_t)settings->peer_port);
	inet_ntop(AF_INET, &address.sin_addr, host, sizeof(host));
	if (strcmp(host, settings->peer_ip) != 0)
		add_target_address(peers, &address);
}

static void add_seed_targets(gateway_peers_t *peers)
{
	const char *seeds = peers->control->gateway->settings.seeds;
	char seed[64];

	while (*seeds) {
		size_t len = strcspn(seeds, ",");

		if (len < sizeof(seed)) {
			memcpy(seed, seeds, len);
			seed[len] = '\0';
			add_target_text(peers, seed);
		}
		seeds += len + (seeds[len] == ',');
	}
}

void gateway_members_update_targets(gateway_peers_t *peers, uint64_t now_ms)
{
	const object_table_t *members =
		&peers->control->view_builder.tables[OBJECT_MEMBERS];

	peers->target_count = 0;
	for (size_t i = 0; i < members->count; i++) {
		const char *text = json_string_value(
			json_object_get(members->entries[i].spec, "address"));

		if (text)
			add_target_text(peers, text);
	}
	/* Heartbeats of instances that have just started arrive before the
	 * member list contains them. */
	for (size_t i = 0; i < peers->peer_count; i++) {
		if (gateway_peer_is_live(peers, peers->peers[i], now_ms))
			add_target_address(peers, &peers->peers[i]->address);
	}
	if (!members->complete)
		add_seed_targets(peers);
}
