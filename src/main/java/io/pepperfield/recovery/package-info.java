/**
 * Copies of all that the state service holds, as archives on an operator's console: written whole
 * or not at all, checked entry by entry. Controllers themselves keep nothing on disk.
 */
package io.pepperfield.recovery;
