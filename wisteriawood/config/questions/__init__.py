"""Questions of the questionnaire, one module for each topic."""
