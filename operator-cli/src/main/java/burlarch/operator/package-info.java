/** What operators call from their shell. */
package burlarch.operator;
