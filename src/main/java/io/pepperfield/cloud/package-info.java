/**
 * Renting and releasing instances. {@link io.pepperfield.cloud.CloudProvider} is the provider's
 * interface and {@link io.pepperfield.cloud.HttpCloudProvider} its client over HTTP; {@link
 * io.pepperfield.cloud.InstanceLifecycle} keeps the leader's rental requests, which are durable
 * before they are sent, and what is to be released; {@link
 * io.pepperfield.cloud.InventoryReconciler} compares the provider's list with the fleet. Called by
 * the controller and its leader, on the owner thread.
 */
package io.pepperfield.cloud;
