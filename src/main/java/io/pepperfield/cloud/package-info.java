/**
 * Renting and releasing instances. {@link io.pepperfield.cloud.CloudProvider} is the client
 * interface of the provider and {@link io.pepperfield.cloud.HttpCloudProvider} its implementation
 * over HTTP; {@link io.pepperfield.cloud.InstanceLifecycle} manages the leader's rental requests,
 * which are persisted before they are sent, and its pending releases; {@link
 * io.pepperfield.cloud.InventoryReconciler} compares the provider's list with the fleet. Called by
 * the controller and the leader, on the owner thread.
 */
package io.pepperfield.cloud;
