/**
 * The controller process: its servers and event loop, the wiring of all parts, the routing of
 * requests and replica changes, and the leader, which coordinates the duties of one leadership.
 * Stands on top of all other packages but the command line.
 */
package io.pepperfield.controller;
