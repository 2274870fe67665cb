/**
 * @file
 * Ports that a program of a test, linked with t/detour.c, connects to in place
 * of others.
 */
#ifndef T_LIB_DETOUR_H
#define T_LIB_DETOUR_H

#include <stdint.h>

enum { DETOURS_MAX = 16 };

/** Entry of the file that DETOUR_FILE names. */
typedef struct detour {
	uint16_t port; /**< Of 127.0.0.1. */
	uint16_t other_port;
} detour_t;

#endif
