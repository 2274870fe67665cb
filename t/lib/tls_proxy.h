/**
 * @file
 * TLS-terminating proxy in front of an HTTP server: accepts TLS connections and
 * forwards the decrypted bytes to a port on loopback.
 *
 * It is needed because CivetWeb 1.15 cannot terminate TLS with OpenSSL 3: it
 * looks up SSL_get_peer_certificate() at run time, which OpenSSL 3 has renamed,
 * and calls a null pointer after the first handshake.
 *
 * Each connection has a thread and two buffers of 16 KiB. Data is read from a
 * side only after the data read before was forwarded, so a slow reader slows
 * down the sender. When either side closes, the other one is closed.
 */
#ifndef T_LIB_TLS_PROXY_H
#define T_LIB_TLS_PROXY_H

#include <stdint.h>

typedef struct tls_proxy tls_proxy_t;

typedef struct tls_proxy_settings {
	const char *address;
	uint32_t port;		  /**< 0 picks a free one. */
	const char *certificate;  /**< PEM file with certificate and key. */
	uint32_t target_port;	  /**< Port of the server on 127.0.0.1. */
	uint32_t connections_max; /**< Further ones are closed at once. */
	uint32_t handshake_timeout_ms;
} tls_proxy_settings_t;

/**
 * Listens and starts the thread that accepts connections.
 * @return NULL if the certificate or the address cannot be used
 */
tls_proxy_t *tls_proxy_start(const tls_proxy_settings_t *settings);

/** Port that the proxy listens on. */
uint32_t tls_proxy_port(const tls_proxy_t *proxy);

/** Closes all connections and stops the threads; NULL is allowed. */
void tls_proxy_stop(tls_proxy_t *proxy);

#endif
