/*
 * Stand-ins for the cases of review/: a store with a desired state, servers
 * that register there, and gateways as separate processes, started with the
 * command and the settings template of the deploy file. All on loopback.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#include "t/lib/platform_store.h"
#include "t/lib/raw_server.h"

enum { RIG_GATEWAYS_MAX = 8 };

typedef struct rig {
	platform_store_t *store;
	char folder[64]; /* Temporary. */
	FILE *record;	 /* record.txt of the case. */
	pid_t gateways[RIG_GATEWAYS_MAX];
	uint16_t front_port;
	uint16_t ready_port;
	uint16_t peer_port;
} rig_t;

/* Exits with status 2: the case could not run. */
void rig_cannot(rig_t *rig, const char *what) __attribute__((noreturn));

/* `case_folder` is that of the script; record.txt is written there. */
void rig_open(rig_t *rig, const char *case_folder);
/* Ends all gateways and removes the temporary folder. */
void rig_close(rig_t *rig);

/* Writes a line to record.txt, with the time since the start. */
void rig_record(rig_t *rig, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

/* Whether the disruption shall happen: not with TROUBLE=0. */
bool rig_trouble(void);

/* Starts gateway `index` on 127.0.0.(20 + index), and waits until its readiness
 * probe succeeds. */
void rig_start_gateway(rig_t *rig, int index);

/* Sends a request to a gateway, which has to close after it, and reads until
 * then. Free `*answer` with free(). Returns its length. */
size_t rig_call(rig_t *rig, int gateway, const char *request, char **answer);

uint64_t rig_now_ms(void);

#endif
