"""Questions of the questionnaire, one module a topic."""
