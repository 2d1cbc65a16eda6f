/**
 * HTTP/1.1 server and pooled client on Netty, with limits on sizes, connections and waiting times,
 * and the JSON codec. Independent of jobs and machines. Any package may send requests; callbacks
 * run on a network thread, and the caller posts them to its owner thread.
 */
package io.pepperfield.http;
