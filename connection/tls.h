/**
 * @file
 * TLS transport, for the server and the client side of a connection.
 */
#ifndef CONNECTION_TLS_H
#define CONNECTION_TLS_H

#include "connection/transport.h"

/**
 * Transport of connections that clients open.
 * @param certificate PEM file with the certificate chain and the key
 * @return NULL if the file cannot be used; the reason is logged
 */
transport_t *tls_server_new(const char *certificate);

/**
 * Transport of connections to endpoints. An endpoint's certificate must name
 * the IP address that is connected to.
 * @param ca_file PEM file of trusted CAs; NULL for the system's
 * @return NULL if the file cannot be used; the reason is logged
 */
transport_t *tls_client_new(const char *ca_file);

/** Frees a transport; NULL is allowed. */
void tls_free(transport_t *transport);

#endif
