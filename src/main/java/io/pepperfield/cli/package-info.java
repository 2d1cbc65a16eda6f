/**
 * The command line: {@code serve} runs a controller; the other commands are clients of a running
 * cluster, work with state archives or validate settings files. Keeps no state beyond the parsed
 * arguments. {@link io.pepperfield.cli.Main} is the only entry point; no other package uses this
 * one.
 */
package io.pepperfield.cli;
