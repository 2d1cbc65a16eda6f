/** What operators are shown of a controller and of the current term ({@code GET /api/nodes}). */
package io.pepperfield.overview;
