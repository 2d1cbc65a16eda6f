/**
 * Descriptions of a controller and of its leadership term for operators ({@code GET /api/nodes}).
 */
package io.pepperfield.overview;
