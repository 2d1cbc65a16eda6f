/**
 * How many machines of each type to have: WIRE's resizing algorithm, the expected demand, and
 * shortages of capacity by zone. Holds the recent demand and the observed shortages; called by the
 * leader's sizer, which rents and returns machines accordingly.
 */
package io.pepperfield.steering;
