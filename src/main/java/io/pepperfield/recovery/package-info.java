/**
 * Exports the state service's content to archive files on an operator's console and verifies them.
 * An archive is written atomically and verified entry by entry. Controllers store nothing on disk.
 */
package io.pepperfield.recovery;
