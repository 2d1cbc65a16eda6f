/**
 * A controller's process: the owner thread, the wiring of all other packages, and, while this node
 * leads, the scheduling loop that dispatches tasks, rents and returns machines, and watches for
 * lost ones. The state of a leader lasts for one term and is rebuilt from the state service by the
 * next. Started by the command line; all of it except {@link io.pepperfield.loop.Loop#post} runs on
 * the owner thread.
 */
package io.pepperfield.node;
