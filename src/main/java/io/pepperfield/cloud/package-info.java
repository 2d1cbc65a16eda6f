/**
 * Renting and returning machines. {@link io.pepperfield.cloud.Cloud} is the provider's interface
 * and {@link io.pepperfield.cloud.HttpCloud} its client over HTTP; {@link
 * io.pepperfield.cloud.Renting} keeps the leader's open rental requests, which are durable before
 * they are sent. Called by the controller and its leader, on the owner thread.
 */
package io.pepperfield.cloud;
