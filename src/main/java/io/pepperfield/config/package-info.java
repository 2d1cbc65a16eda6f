/**
 * The settings of the platform (TOML) and of the operators (XML): reading, checking, and the typed
 * records that hold them. Everything is immutable once read; any package may read it, and only the
 * command line calls the readers.
 */
package io.pepperfield.config;
