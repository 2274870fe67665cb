/**
 * @file
 * TLS in front of the HTTP server: accepts TLS connections and passes their
 * bytes to a plain port on loopback.
 *
 * CivetWeb 1.15 cannot end TLS with OpenSSL 3: it looks up the function
 * SSL_get_peer_certificate() at run time, which OpenSSL 3 has renamed, and
 * calls a null pointer after the first handshake.
 *
 * One thread serves one connection with 2 buffers of 16 KiB. A side is read
 * only after what it sent before was passed on, so a slow reader slows down
 * the sender. When either side closes, the other one is closed.
 */
#ifndef T_LIB_TLS_PROXY_H
#define T_LIB_TLS_PROXY_H

#include <stdint.h>

typedef struct tls_proxy tls_proxy_t;

typedef struct tls_proxy_settings {
	const char *address;
	uint32_t port;		 /**< 0 picks one. */
	const char *certificate; /**< PEM file with certificate and key. */
	uint32_t target_port;	 /**< On 127.0.0.1. */
	uint32_t connections_max;
	uint32_t handshake_timeout_ms;
} tls_proxy_settings_t;

/**
 * Listens and starts the thread that accepts connections.
 * @return NULL if the certificate or the address cannot be used
 */
tls_proxy_t *tls_proxy_start(const tls_proxy_settings_t *settings);

/** Port in use. */
uint32_t tls_proxy_port(const tls_proxy_t *proxy);

/** Cuts all connections and ends the threads; NULL is allowed. */
void tls_proxy_stop(tls_proxy_t *proxy);

#endif
