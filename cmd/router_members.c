/*
 * Membership of this instance: starts gossip, implements its hooks and reads
 * the instance list.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/uatomic.h>

#include "cmd/router.h"
#include "process/cleanup.h"
#include "process/clock.h"
#include "process/error.h"
#include "process/event.h"
#include "process/hash.h"

enum {
	ADDRESS_MAX_BYTES = 64,
	/** Rumors about leaving endpoints per tick; the rest wait for the next.
	 */
	LEAVING_MAX = 16,
};

static void on_rumor(void *context, const peer_rumor_t *rumor)
{
	const peer_endpoint_t *endpoint = &rumor->peer_rumor_t_u.endpoint;
	router_t *router = context;

	if (rumor->kind == PEER_RUMOR_ENDPOINT)
		fleet_mark_leaving(router->fleet, endpoint->endpoint,
				   endpoint->incarnation, endpoint->leaving,
				   clock_now_ms());
	else
		crash_guard_on_rumor(router->crash_guard, rumor);
}

static peer_claim_answer_t on_claim(void *context, const peer_claim_t *claim)
{
	router_t *router = context;

	return crash_guard_on_claim(router->crash_guard, claim);
}

static void on_config(void *context, uint64_t member, uint64_t position,
		      uint32_t age_ms)
{
	router_t *router = context;

	pthread_rwlock_rdlock(&router->service_lock);
	if (router->service)
		config_service_gossip(router->service, member, position,
				      age_ms == UINT32_MAX ? CONFIG_AGE_UNKNOWN
							   : age_ms);
	pthread_rwlock_unlock(&router->service_lock);
}

static void spread_leaving(router_t *router)
{
	fleet_leaving_t changes[LEAVING_MAX];
	size_t count = fleet_leaving_changes(router->fleet, changes,
					     LEAVING_MAX, clock_now_ms());

	for (size_t i = 0; i < count; i++) {
		peer_rumor_t rumor = { .kind = PEER_RUMOR_ENDPOINT };
		peer_endpoint_t *endpoint = &rumor.peer_rumor_t_u.endpoint;

		endpoint->endpoint = changes[i].id_hash;
		endpoint->incarnation = changes[i].incarnation;
		endpoint->leaving = changes[i].leaving;
		event_log(EVENT_ENDPOINT_LEAVING,
			  "endpoint=%016" PRIx64 " incarnation=%" PRIu64
			  " leaving=%d",
			  changes[i].id_hash, changes[i].incarnation,
			  changes[i].leaving);
		gossip_spread_rumor(router->gossip, &rumor);
	}
}

static bool is_live(const gossip_member_t *member)
{
	return member->wire.state == PEER_MEMBER_ALIVE ||
	       member->wire.state == PEER_MEMBER_SUSPECT;
}

/**
 * Copies the live members. Gossip carries 32 bits of the hash of a domain, but
 * the configuration service compares domains with the full hash of its own, so
 * members of the own domain get the full hash.
 */
static size_t copy_live_members(const router_t *router,
				const gossip_member_t *members, size_t count,
				config_sync_member_t *sync_members)
{
	uint32_t own = gossip_domain_id(router->settings.domain);
	size_t used = 0;

	for (size_t i = 0; i < count; i++) {
		bool same_domain = members[i].wire.domain == own;

		if (!is_live(&members[i]))
			continue;
		sync_members[used++] = (config_sync_member_t){
			.id = members[i].wire.id,
			.domain = same_domain
					  ? hash_string(router->settings.domain)
					  : members[i].wire.domain,
			.position = members[i].config_position,
		};
	}
	return used;
}

size_t router_members_copy_live(router_t *router,
				config_sync_member_t *sync_members, size_t max)
{
	CLEANUP_FREE gossip_member_t *members = calloc(max, sizeof(*members));
	size_t count;

	if (!members)
		return 0;
	count = gossip_members(router->gossip, members, max);
	return copy_live_members(router, members, count, sync_members);
}

static uint64_t digest_live_members(const gossip_member_t *members,
				    size_t count)
{
	uint64_t digest = 0;

	for (size_t i = 0; i < count; i++) {
		if (is_live(&members[i]))
			digest = hash_chain(digest, &members[i].wire.id,
					    sizeof(members[i].wire.id));
	}
	return digest;
}

/** Passes the live members to the configuration service if they changed. */
static void update_service_members(router_t *router)
{
	size_t count = gossip_members(router->gossip, router->members_buffer,
				      PEER_MEMBERS_MAX);
	uint64_t digest = digest_live_members(router->members_buffer, count);
	config_sync_member_t *sync_members;

	if (digest == router->members_digest)
		return;
	sync_members = calloc(count + 1, sizeof(*sync_members));
	if (!sync_members)
		return;
	count = copy_live_members(router, router->members_buffer, count,
				  sync_members);
	pthread_rwlock_rdlock(&router->service_lock);
	if (router->service) {
		config_service_set_members(router->service, sync_members,
					   count);
		router->members_digest = digest;
	}
	pthread_rwlock_unlock(&router->service_lock);
	free(sync_members);
}

static void on_tick(void *context)
{
	router_t *router = context;

	if (!uatomic_read(&router->hooks_ready))
		return;
	crash_guard_on_tick(router->crash_guard);
	router_members_set_config(router);
	update_service_members(router);
	spread_leaving(router);
}

void router_members_set_config(router_t *router)
{
	CLEANUP_CONFIG config_t *config = config_acquire();
	config_service_status_t status = router_tickets_status(router);

	if (!config || !uatomic_read(&router->hooks_ready))
		return;
	gossip_set_config_age(router->gossip,
			      status.age_ms >= UINT32_MAX
				      ? UINT32_MAX
				      : (uint32_t)status.age_ms);
	gossip_set_config_position(router->gossip, config->position);
}

/** Splits "address:port". @return whether the text has that form */
static bool split_advertise(const char *text, char address[ADDRESS_MAX_BYTES],
			    uint16_t *port)
{
	const char *colon = text ? strrchr(text, ':') : NULL;
	unsigned long number = colon ? strtoul(colon + 1, NULL, 10) : 0;

	if (!colon || colon == text || number < 1 || number > UINT16_MAX ||
	    colon - text >= ADDRESS_MAX_BYTES)
		return false;
	memcpy(address, text, (size_t)(colon - text));
	address[colon - text] = '\0';
	*port = (uint16_t)number;
	return true;
}

int router_members_open(router_t *router)
{
	const router_settings_t *settings = &router->settings;
	char address[ADDRESS_MAX_BYTES];
	gossip_settings_t gossip = {
		.cluster = settings->cluster,
		.secret = settings->cluster_key,
		.instance = router->instance,
		.domain = settings->domain,
		.listen = settings->peer_address,
		.advertise = settings->peer_address,
		.port = (uint16_t)settings->peer_port,
		.seeds = settings->peers,
		.seed = router->seed ^ hash_string(router->instance),
		.hooks = { .context = router,
			   .on_rumor = on_rumor,
			   .on_config = on_config,
			   .config_read = router_tickets_serve_peer,
			   .on_claim = on_claim,
			   .on_tick = on_tick },
	};
	int err;

	if (settings->peer_advertise) {
		if (!split_advertise(settings->peer_advertise, address,
				     &gossip.advertise_port)) {
			fprintf(stderr,
				"setting --peer-advertise: '%s' is not "
				"address:port\n",
				settings->peer_advertise);
			return ERR_SETTING;
		}
		gossip.advertise = address;
	}
	router->members_buffer =
		calloc(PEER_MEMBERS_MAX, sizeof(*router->members_buffer));
	if (!router->members_buffer)
		return ERR_NO_MEMORY;
	err = gossip_open(&gossip, &router->gossip);
	if (err)
		return err;
	crash_guard_connect(router->crash_guard, router->gossip);
	cmm_smp_mb();
	uatomic_set(&router->hooks_ready, true);
	printf("peer-port=%u\n", gossip_port(router->gossip));
	return 0;
}

void router_members_close(router_t *router)
{
	gossip_close(router->gossip);
	free(router->members_buffer);
	free(router->instances);
}

bool router_members_has_peers(router_t *router)
{
	peer_member_t live[2];

	return gossip_live(router->gossip, live, 2) > 1;
}

static void apply_list_entry(router_t *router, const store_instance_t *entry)
{
	if (entry->kind != STORE_INSTANCE_ROUTER)
		fleet_apply_list_entry(router->fleet, hash_string(entry->id),
				       entry->leaving, clock_now_ms());
	else if (!entry->leaving)
		gossip_add_listed_instance(router->gossip, entry->id,
					   entry->address, entry->port,
					   entry->domain);
}

void router_members_read_list(router_t *router)
{
	store_instance_t *list;
	size_t count;

	/* The store client counts a failure; the last list stays in use. */
	if (!router->store ||
	    store_client_instances(router->store, &list, &count))
		return;
	for (size_t i = 0; i < count; i++)
		apply_list_entry(router, &list[i]);
	SCOPED_LOCK(lock, &router->instances_lock);
	free(router->instances);
	router->instances = list;
	router->instance_count = count;
}

void router_members_name(router_t *router, uint64_t id,
			 char name[STORE_NAME_MAX_BYTES])
{
	SCOPED_LOCK(lock, &router->instances_lock);

	snprintf(name, STORE_NAME_MAX_BYTES, "%016" PRIx64, id);
	if (id == gossip_id(router->gossip))
		snprintf(name, STORE_NAME_MAX_BYTES, "%s", router->instance);
	for (size_t i = 0; i < router->instance_count; i++) {
		if (hash_string(router->instances[i].id) == id)
			snprintf(name, STORE_NAME_MAX_BYTES, "%s",
				 router->instances[i].id);
	}
}
