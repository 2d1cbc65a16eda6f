/**
 * HTTP/1.1 server and pooled client on Netty, with bounds on sizes, connections and waiting times,
 * and the JSON codec. Holds connections but nothing about jobs or machines. Any package may send
 * requests; callbacks arrive on a network thread, and the caller posts them to its owner thread.
 */
package io.pepperfield.http;
