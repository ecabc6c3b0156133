// Package standin holds what the stand-ins of endpoints and the platform share; tests and demonstrations use them.
package standin
