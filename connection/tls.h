/**
 * @file
 * TLS as a kind of stream, on both sides of a connection.
 */
#ifndef CONNECTION_TLS_H
#define CONNECTION_TLS_H

#include "connection/transport.h"

/**
 * Streams of callers.
 * @param certificate PEM file with certificate and key
 * @return NULL if the file cannot be used; the reason is logged
 */
transport_t *tls_server_new(const char *certificate);

/**
 * Streams to endpoints. A certificate must name the endpoint's address.
 * @param ca_file authorities to trust; NULL: those of the system
 * @return NULL if the file cannot be used; the reason is logged
 */
transport_t *tls_client_new(const char *ca_file);

/** NULL is allowed. */
void tls_free(transport_t *kind);

#endif
