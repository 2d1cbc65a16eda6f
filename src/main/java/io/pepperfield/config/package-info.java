/**
 * Settings of the platform (TOML) and of the operators (XML): parsing, validation, and immutable
 * records for the values. Any package may use the records; only the command line calls the readers.
 */
package io.pepperfield.config;
