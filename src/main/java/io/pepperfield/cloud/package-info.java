/**
 * Renting and returning machines. {@link io.pepperfield.cloud.CloudProvider} is the provider's
 * interface and {@link io.pepperfield.cloud.HttpCloudProvider} its client over HTTP; {@link
 * io.pepperfield.cloud.InstanceLifecycle} keeps the leader's open rental requests, which are
 * durable before they are sent. Called by the controller and its leader, on the owner thread.
 */
package io.pepperfield.cloud;
