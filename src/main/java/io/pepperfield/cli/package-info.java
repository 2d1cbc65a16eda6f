/**
 * The command line: {@code serve} runs a controller, the other commands are clients of a running
 * cluster or check settings files. Holds no state beyond the parsed arguments; entered through
 * {@link io.pepperfield.cli.Main} only, and used by no other package.
 */
package io.pepperfield.cli;
