/**
 * The controller process: its servers and event loop, the wiring of all components, the routing of
 * requests and replica changes, and the leader, which coordinates scheduling during one leadership
 * term. Depends on all other packages except the command line.
 */
package io.pepperfield.controller;
